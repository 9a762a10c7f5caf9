use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

use serde_json::json;
use tamarackdock_config::deployment::Target;
use tamarackdock_platform::order::Listed;
use tamarackdock_types::{DataCentreName, TargetName, fence::Epoch};

use super::{
    Report, Update,
    in_flight::{Counts, InFlight},
    list::List,
};

/// State of the targets, shared by the tasks of a thread. The node knows the
/// reports that it gets as a holder or from other holders, and all lists.
#[derive(Clone, Debug, Default)]
pub(crate) struct Watch {
    reports: Rc<RefCell<BTreeMap<TargetName, Report>>>,
    /// Number of the last update of each data centre.
    updates: Rc<RefCell<BTreeMap<DataCentreName, (Epoch, u64)>>>,
    lists: Rc<RefCell<BTreeMap<DataCentreName, List>>>,
    in_flight: Counts,
}

impl Watch {
    /// Takes an engine's newest report.
    pub(crate) fn set(&self, target: &TargetName, report: Report) {
        self.reports.borrow_mut().insert(target.clone(), report);
    }

    /// Forgets an engine that gives no reports.
    pub(crate) fn remove(&self, target: &TargetName) {
        self.reports.borrow_mut().remove(target);
    }

    /// Returns the reports of a data centre.
    pub(crate) fn reports(&self, centre: &DataCentreName) -> BTreeMap<TargetName, Report> {
        let reports = self.reports.borrow();
        let here = reports.iter().filter(|(_, report)| report.data_centre == *centre);
        here.map(|(target, report)| (target.clone(), report.clone())).collect()
    }

    /// Notes an update that this node sends, so that those of earlier holders
    /// are dropped, and returns whether it is newer than the last.
    pub(crate) fn note(&self, centre: &DataCentreName, number: (Epoch, u64)) -> bool {
        let mut updates = self.updates.borrow_mut();
        let last = updates.entry(centre.clone()).or_default();
        let is_newer = number > *last;
        *last = number.max(*last);
        is_newer
    }

    /// Takes the update of another node.
    pub(crate) fn apply(&self, update: Update) {
        if !self.note(&update.data_centre, update.number) {
            return;
        }
        let mut reports = self.reports.borrow_mut();
        if update.is_whole {
            reports.retain(|_, report| report.data_centre != update.data_centre);
        }
        reports.extend(update.reports);
    }

    /// Takes the platform's list of a data centre.
    pub(crate) fn set_list(&self, centre: &DataCentreName, listed: Vec<Listed>) {
        self.lists.borrow_mut().entry(centre.clone()).or_default().update(listed);
    }

    /// Returns whether the platform orders the targets of a data centre.
    pub(crate) fn is_ordered(&self, centre: &DataCentreName) -> bool {
        self.lists.borrow().get(centre).is_some_and(List::is_ordered)
    }

    /// Returns whether a target may get new work: the platform's list shows it
    /// as running, or shows no targets in its data centre.
    pub(crate) fn accepts_work(&self, target: &Target) -> bool {
        let lists = self.lists.borrow();
        lists.get(&target.data_centre).is_none_or(|list| list.is_running(&target.name))
    }

    /// Counts a call of this node until the result is dropped.
    pub(crate) fn begin(&self, target: &TargetName) -> InFlight {
        InFlight::new(self.in_flight.clone(), target)
    }

    /// Returns the calls that a target has, as far as the node knows.
    pub(crate) fn calls(&self, target: &TargetName) -> u64 {
        let own = self.in_flight.borrow().get(target).copied().unwrap_or_default();
        self.reports.borrow().get(target).map_or(0, |report| report.calls).max(own)
    }

    /// Describes the state of the configured targets.
    pub(crate) fn dump(&self, targets: &[Rc<Target>]) -> serde_json::Value {
        let refused = targets.iter().filter(|target| !self.accepts_work(target));
        json!({
            "reports": *self.reports.borrow(),
            "lists": *self.lists.borrow(),
            "no_new_work": refused.map(|target| &target.name).collect::<Vec<_>>(),
        })
    }
}
