use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

use serde_json::json;
use tamarackdock_config::deployment::Target;
use tamarackdock_platform::order::ListedTarget;
use tamarackdock_types::{DataCentreName, TargetName, fence::Epoch};

use super::{
    Report, Update,
    in_flight::{Counts, InFlight},
    list::TargetList,
};

/// State of the targets, shared by the tasks of a thread. It consists of the engines' reports,
/// which a node reads as holder of a data centre's lease or gets from other holders, and of the
/// platform's lists of all data centres.
#[derive(Clone, Debug, Default)]
pub(crate) struct TargetStates {
    reports: Rc<RefCell<BTreeMap<TargetName, Report>>>,
    /// Highest update number of each data centre.
    updates: Rc<RefCell<BTreeMap<DataCentreName, (Epoch, u64)>>>,
    lists: Rc<RefCell<BTreeMap<DataCentreName, TargetList>>>,
    in_flight: Counts,
}

impl TargetStates {
    /// Sets the newest report of an engine.
    pub(crate) fn set_report(&self, target: &TargetName, report: Report) {
        self.reports.borrow_mut().insert(target.clone(), report);
    }

    /// Removes the report of an engine that doesn't report any more.
    pub(crate) fn remove_report(&self, target: &TargetName) {
        self.reports.borrow_mut().remove(target);
    }

    /// Returns the reports of the engines of a data centre.
    pub(crate) fn reports(&self, data_centre: &DataCentreName) -> BTreeMap<TargetName, Report> {
        let reports = self.reports.borrow();
        let here = reports.iter().filter(|(_, report)| report.data_centre == *data_centre);
        here.map(|(target, report)| (target.clone(), report.clone())).collect()
    }

    /// Records the number of an update that this node sends or receives, so that updates of
    /// earlier holders are dropped. Returns whether the number is higher than all before.
    pub(crate) fn record_update(&self, data_centre: &DataCentreName, number: (Epoch, u64)) -> bool {
        let mut updates = self.updates.borrow_mut();
        let last = updates.entry(data_centre.clone()).or_default();
        let is_newer = number > *last;
        *last = number.max(*last);
        is_newer
    }

    /// Applies the update of another node, unless a newer one was recorded before.
    pub(crate) fn apply(&self, update: Update) {
        if !self.record_update(&update.data_centre, update.number) {
            return;
        }
        let mut reports = self.reports.borrow_mut();
        if update.is_whole {
            reports.retain(|_, report| report.data_centre != update.data_centre);
        }
        reports.extend(update.reports);
    }

    /// Sets the platform's list of the targets of a data centre.
    pub(crate) fn set_list(&self, data_centre: &DataCentreName, listed: Vec<ListedTarget>) {
        self.lists.borrow_mut().entry(data_centre.clone()).or_default().update(listed);
    }

    /// Returns whether the targets of a data centre are ordered from the platform.
    pub(crate) fn is_ordered(&self, data_centre: &DataCentreName) -> bool {
        self.lists.borrow().get(data_centre).is_some_and(TargetList::is_ordered)
    }

    /// Returns whether a target may get new work: the platform's list shows it as running, or
    /// has never had a target of its data centre.
    pub(crate) fn accepts_work(&self, target: &Target) -> bool {
        let lists = self.lists.borrow();
        lists.get(&target.data_centre).is_none_or(|list| list.is_running(&target.name))
    }

    /// Counts a call of this node until the result is dropped.
    pub(crate) fn start_call(&self, target: &TargetName) -> InFlight {
        InFlight::new(self.in_flight.clone(), target)
    }

    /// Returns the number of calls on a target as far as the node knows: the number that the
    /// target last reported, or the number of this node's own calls if that is higher.
    pub(crate) fn call_count(&self, target: &TargetName) -> u64 {
        let own = self.in_flight.borrow().get(target).copied().unwrap_or_default();
        self.reports.borrow().get(target).map_or(0, |report| report.calls).max(own)
    }

    /// Returns the state of the configured targets as JSON for `/debug/state`.
    pub(crate) fn dump(&self, targets: &[Rc<Target>]) -> serde_json::Value {
        let refused = targets.iter().filter(|target| !self.accepts_work(target));
        json!({
            "reports": *self.reports.borrow(),
            "lists": *self.lists.borrow(),
            "no_new_work": refused.map(|target| &target.name).collect::<Vec<_>>(),
        })
    }
}
