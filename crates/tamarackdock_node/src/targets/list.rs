use std::collections::BTreeMap;

use serde::Serialize;
use tamarackdock_platform::order::{ListedTarget, State};
use tamarackdock_types::TargetName;

/// The platform's list of the targets of a data centre.
#[derive(Debug, Clone, Default, Serialize)]
pub(super) struct TargetList {
    /// Whether the list ever had a target. If not, targets aren't ordered from the platform in
    /// this data centre, and all configured targets run.
    is_ordered: bool,
    targets: BTreeMap<TargetName, State>,
}

impl TargetList {
    /// Replaces the list by a newer one.
    pub(super) fn update(&mut self, listed: Vec<ListedTarget>) {
        self.is_ordered |= !listed.is_empty();
        self.targets = listed.into_iter().map(|target| (target.name, target.state)).collect();
    }

    pub(super) fn is_ordered(&self) -> bool {
        self.is_ordered
    }

    pub(super) fn is_running(&self, target: &TargetName) -> bool {
        !self.is_ordered || self.targets.get(target) == Some(&State::Running)
    }
}
