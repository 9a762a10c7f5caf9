use std::{cell::RefCell, collections::HashMap, rc::Rc};

use tamarackdock_types::{ServiceName, weight::Version};

/// The newest weight version of each model, shared by the tasks of a thread.
#[derive(Clone, Debug, Default)]
pub(crate) struct Watch(Rc<RefCell<HashMap<ServiceName, Version>>>);

impl Watch {
    /// Returns the newest known version of a model, or the default version if none is known.
    pub(crate) fn get(&self, service: &ServiceName) -> Version {
        self.0.borrow().get(service).copied().unwrap_or_default()
    }

    /// Records a version that was read. An older one is ignored, since answers may be late.
    pub(crate) fn advance(&self, service: &ServiceName, version: Version) {
        let mut versions = self.0.borrow_mut();
        let newest = versions.entry(service.clone()).or_default();
        *newest = version.max(*newest);
    }
}
