use std::{cell::RefCell, collections::HashMap, rc::Rc};

use tamarackdock_types::{ServiceName, weight::Version};

/// The newest version of each model, shared by the tasks of a thread.
#[derive(Clone, Debug, Default)]
pub(crate) struct Watch(Rc<RefCell<HashMap<ServiceName, Version>>>);

impl Watch {
    /// Returns the newest known version of a model.
    pub(crate) fn get(&self, service: &ServiceName) -> Version {
        self.0.borrow().get(service).copied().unwrap_or_default()
    }

    /// Takes a version as it was read. A late answer never moves it back.
    pub(crate) fn advance(&self, service: &ServiceName, version: Version) {
        let mut versions = self.0.borrow_mut();
        let newest = versions.entry(service.clone()).or_default();
        *newest = version.max(*newest);
    }
}
