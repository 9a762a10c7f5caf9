use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

use serde_json::json;
use tamarackdock_types::TargetName;

use super::Report;

/// State of the targets, shared by the tasks of a thread. The node knows the
/// reports of the data centres whose lease it holds.
#[derive(Clone, Debug, Default)]
pub(crate) struct Watch(Rc<RefCell<BTreeMap<TargetName, Report>>>);

impl Watch {
    /// Takes an engine's newest report.
    pub(crate) fn set(&self, target: &TargetName, report: Report) {
        self.0.borrow_mut().insert(target.clone(), report);
    }

    /// Forgets an engine that gives no reports.
    pub(crate) fn remove(&self, target: &TargetName) {
        self.0.borrow_mut().remove(target);
    }

    /// Describes the state.
    pub(crate) fn dump(&self) -> serde_json::Value {
        json!({ "reports": *self.0.borrow() })
    }
}
