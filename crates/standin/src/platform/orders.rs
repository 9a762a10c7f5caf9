use std::collections::{BTreeMap, BTreeSet};

use tamarackdock_platform::order::{Action, Class, ListedTarget, Order, State};
use tamarackdock_types::{DataCentreName, TargetName, fence::Epoch};

/// An order as it arrived, for checks of promise 7 (`docs/design.md`).
#[derive(Debug, Clone)]
pub struct ReceivedOrder {
    /// Data centre that the order was sent to.
    pub data_centre: DataCentreName,
    /// The order with its epoch and source operation.
    pub order: Order,
    /// Whether it was accepted and so took effect.
    pub accepted: bool,
}

/// The reason why an order had no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Rejection {
    /// The order's epoch is older than this one, the newest accepted.
    StaleEpoch(Epoch),
    /// No target of the class can currently be started.
    Unavailable,
}

/// Interface by which targets are started and stopped.
#[derive(Debug, Default)]
pub struct Orders {
    /// Data centres that refuse orders with an epoch older than the newest accepted one.
    pub checks_epoch: BTreeSet<DataCentreName>,
    /// Classes of which no target can currently be started, with their data centre.
    pub unavailable: BTreeSet<(DataCentreName, Class)>,
    /// Whether started targets stay `starting` and stopped ones `leaving`
    /// until [`Orders::set`] or [`Orders::remove`] changes them.
    pub holds_transitions: bool,
    received: Vec<ReceivedOrder>,
    epochs: BTreeMap<DataCentreName, Epoch>,
    targets: BTreeMap<DataCentreName, BTreeMap<TargetName, ListedTarget>>,
}

impl Orders {
    /// Returns all orders, also refused ones, in the order of arrival.
    #[must_use]
    pub fn received(&self) -> &[ReceivedOrder] {
        &self.received
    }

    /// Returns the targets of a data centre.
    #[must_use]
    pub fn list(&self, data_centre: &DataCentreName) -> Vec<ListedTarget> {
        self.targets.get(data_centre).into_iter().flat_map(BTreeMap::values).cloned().collect()
    }

    /// Adds a target or replaces the entry with its name.
    pub fn set(&mut self, data_centre: DataCentreName, target: ListedTarget) {
        self.targets.entry(data_centre).or_default().insert(target.name.clone(), target);
    }

    /// Removes a target, as the platform does when it reclaims a cheap one.
    pub fn remove(&mut self, data_centre: &DataCentreName, target: &TargetName) {
        if let Some(targets) = self.targets.get_mut(data_centre) {
            targets.remove(target);
        }
    }

    pub(super) fn receive(
        &mut self,
        data_centre: DataCentreName,
        order: Order,
    ) -> Result<(), Rejection> {
        let outcome = self.check(&data_centre, &order);
        let accepted = outcome.is_ok();
        self.received.push(ReceivedOrder {
            data_centre: data_centre.clone(),
            order: order.clone(),
            accepted,
        });
        outcome.map(|()| self.apply(data_centre, order))
    }

    fn check(&self, data_centre: &DataCentreName, order: &Order) -> Result<(), Rejection> {
        let latest = self.epochs.get(data_centre).copied().unwrap_or_default();
        let class = (data_centre.clone(), order.class);
        match order.action {
            _ if self.checks_epoch.contains(data_centre) && order.epoch < latest => {
                Err(Rejection::StaleEpoch(latest))
            }
            Action::Start if self.unavailable.contains(&class) => Err(Rejection::Unavailable),
            Action::Start | Action::Stop => Ok(()),
        }
    }

    fn apply(&mut self, data_centre: DataCentreName, order: Order) {
        let latest = self.epochs.entry(data_centre.clone()).or_default();
        *latest = order.epoch.max(*latest);
        let state = match order.action {
            Action::Start if self.holds_transitions => State::Starting,
            Action::Start => State::Running,
            Action::Stop if self.holds_transitions => State::Leaving,
            Action::Stop => return self.remove(&data_centre, &order.target),
        };
        let known = self.targets.get(&data_centre).and_then(|all| all.get(&order.target));
        match (order.action, known.cloned()) {
            (Action::Start, None) => {
                let target = ListedTarget { name: order.target, class: order.class, state };
                self.set(data_centre, target);
            }
            (Action::Stop, Some(target)) => self.set(data_centre, ListedTarget { state, ..target }),
            (Action::Start, Some(_)) | (Action::Stop, None) => {}
        }
    }
}
