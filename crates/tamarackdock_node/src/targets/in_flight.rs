use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

use tamarackdock_types::TargetName;

/// Number of this node's calls in progress by target. Targets without one are left out.
pub(super) type Counts = Rc<RefCell<BTreeMap<TargetName, u64>>>;

/// Counts a call of this node on a target until it is dropped.
pub(crate) struct InFlight {
    counts: Counts,
    target: TargetName,
}

impl InFlight {
    pub(super) fn new(counts: Counts, target: &TargetName) -> Self {
        *counts.borrow_mut().entry(target.clone()).or_default() += 1;
        Self { counts, target: target.clone() }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut counts = self.counts.borrow_mut();
        match counts.get_mut(&self.target) {
            Some(count) if *count > 1 => *count -= 1,
            _ => drop(counts.remove(&self.target)),
        }
    }
}
