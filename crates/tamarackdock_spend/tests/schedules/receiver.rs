use std::collections::{BTreeMap, BTreeSet};

use proptest::{prop_assert, test_runner::TestCaseError};
use tamarackdock_platform::{
    Error,
    order::{Action, Class, ListedTarget, Order, State},
};
use tamarackdock_spend::{Receiver, TargetCounts};
use tamarackdock_types::{TargetName, fence::Epoch};

/// Simulated interface that starts and stops targets.
pub(crate) struct Targets {
    pub(crate) kind: Receiver,
    running: BTreeMap<TargetName, ListedTarget>,
    operations: BTreeSet<String>,
    newest_epoch: Epoch,
    readers: BTreeSet<Epoch>,
    /// Whether an order of an earlier holder arrived after the last holder's read,
    /// which is allowed only if the receiver checks epochs.
    has_late_order: bool,
    /// Whether the last list showed a target that was starting.
    saw_starting: bool,
    pub(crate) no_cheap_until: u64,
    pub(crate) max_planned: TargetCounts,
    /// Numbers of orders, repeated orders, refused stale orders, and orders for a
    /// class that was unavailable.
    pub(crate) counts: [u64; 4],
}

impl Targets {
    pub(crate) fn new(kind: Receiver) -> Self {
        Self {
            kind,
            running: BTreeMap::new(),
            operations: BTreeSet::new(),
            newest_epoch: Epoch::default(),
            readers: BTreeSet::new(),
            has_late_order: false,
            saw_starting: false,
            no_cheap_until: 0,
            max_planned: TargetCounts::default(),
            counts: [0; 4],
        }
    }

    pub(crate) fn list(&mut self, reader: Epoch) -> Vec<ListedTarget> {
        self.readers.insert(reader);
        let listed: Vec<_> = self.running.values().cloned().collect();
        self.saw_starting = listed.iter().any(|target| target.state == State::Starting);
        self.running.values_mut().for_each(|target| target.state = State::Running);
        listed
    }

    pub(crate) fn count(&self, class: Class) -> u32 {
        let of_class = self.running.values().filter(|target| target.class == class);
        u32::try_from(of_class.count()).unwrap()
    }

    pub(crate) fn reclaim(&mut self, until: u64) {
        self.running.retain(|_, target| target.class == Class::Ordinary);
        self.no_cheap_until = until;
    }

    pub(crate) fn order(
        &mut self,
        time: u64,
        order: Order,
    ) -> Result<Result<(), Error>, TestCaseError> {
        let ignores = self.kind == Receiver::IgnoresEpoch;
        if order.epoch < self.newest_epoch && !ignores {
            self.counts[2] += 1;
            return Ok(Err(Error::StaleEpoch(self.newest_epoch)));
        }
        let read_later = self.readers.last().is_some_and(|reader| *reader > order.epoch);
        prop_assert!(
            order.epoch >= self.newest_epoch,
            "an order of epoch {} arrived after one of a later epoch",
            order.epoch
        );
        prop_assert!(
            !(ignores && read_later),
            "an order of epoch {} arrived after a later holder's read",
            order.epoch
        );
        prop_assert!(
            self.readers.contains(&order.epoch),
            "order based on a state that was not read"
        );
        self.has_late_order |= read_later;
        self.newest_epoch = order.epoch;
        if order.class == Class::Cheap
            && order.action == Action::Start
            && time < self.no_cheap_until
        {
            self.counts[3] += 1;
            return Ok(Err(Error::Unavailable));
        }
        if !self.operations.insert(order.operation) {
            self.counts[1] += 1;
            return Ok(Ok(()));
        }
        self.counts[0] += 1;
        match order.action {
            Action::Start => {
                let (name, class) = (order.target.clone(), order.class);
                let target = ListedTarget { name, class, state: State::Starting };
                self.running.insert(order.target, target);
            }
            Action::Stop => {
                prop_assert!(!(ignores && self.saw_starting), "stop while a target is starting");
                self.running.remove(&order.target);
            }
        }
        let (ordinary, cheap) = (self.count(Class::Ordinary), self.count(Class::Cheap));
        let fits = ordinary <= self.max_planned.ordinary && cheap <= self.max_planned.cheap;
        prop_assert!(
            self.has_late_order || fits,
            "{ordinary} and {cheap} targets, more than planned"
        );
        Ok(Ok(()))
    }
}
