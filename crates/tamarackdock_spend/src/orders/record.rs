//! Records of orders in the table.

use tamarackdock_lease::HeldLease;
use tamarackdock_platform::{
    order::Order,
    table::{Commit, Write},
};
use tamarackdock_types::clock::Instant;

use super::{Reconciler, Stage};
use crate::{Action, Record};

impl Reconciler {
    /// Records an order on the condition that no other process has taken the lease.
    /// A record whose outcome is unknown may stay, since its order is not sent.
    pub(super) fn record(
        &mut self,
        now: Instant,
        held: &mut HeldLease,
        order: Order,
        actions: &mut Vec<Action>,
    ) {
        let Some(deadline) = held.record(now) else { return };
        let key = format!("order/{}/{}-{}", self.label, order.epoch, self.number);
        let record = Record { order: order.clone(), deadline_ms: deadline.until.as_millis() };
        let value = serde_json::to_string(&record).expect("an order can be written as JSON");
        let mut writes = vec![Write { key: key.clone(), value: Some(value) }];
        let previous = self.last_key.replace(key.clone()).filter(|previous| *previous != key);
        writes.extend(previous.map(|key| Write { key, value: None }));
        let request = self.new_request();
        let operation = format!("{}-{request}", order.operation);
        self.stage = Stage::Recording(order, deadline);
        let commit = Commit { operation, conditions: vec![held.fence()], writes };
        actions.push(Action::Record { request, commit });
    }
}
