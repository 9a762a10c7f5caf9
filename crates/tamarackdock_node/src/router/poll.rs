use std::time::Duration;

use tamarackdock_route::{Key, State};
use tamarackdock_types::clock::Instant;
use tamarackdock_wire::client::Timeouts;

use super::{Message, state::Router};
use crate::engine::fetch_load_report;

/// A subset of 20 targets costs 3 KB/s for each node at this interval.
const WARM_POLL_INTERVAL: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_millis(250);
const TIMEOUTS: Timeouts = Timeouts {
    connect: Duration::from_millis(500),
    first_byte: Duration::from_secs(1),
    between_bytes: Duration::from_secs(1),
};

impl Router {
    /// Polls the assigned targets that are due. Targets without load reports are probed only while
    /// they are unresponsive or can't be connected to.
    pub(super) fn poll_due(&mut self, now: Instant) {
        let due = self
            .records
            .iter()
            .filter(|(key, _)| self.assigned.contains(**key))
            .filter(|(_, record)| {
                record.reports || record.is_unresponsive || !record.health.is_up()
            })
            .filter(|(_, record)| record.next_poll.is_some_and(|at| now >= at));
        let due: Vec<Key> = due.map(|(key, _)| *key).collect();
        for key in due {
            self.poll(key, now);
        }
    }

    /// Polls a target's load now, or probes its connection if it has no load reports.
    pub(super) fn poll(&mut self, key: Key, now: Instant) {
        let is_warm = self.table.get(key).is_some_and(|target| target.state == State::Warm);
        let Some(record) = self.records.get_mut(&key) else { return };
        record.next_poll = None;
        let next = now + if is_warm { WARM_POLL_INTERVAL } else { POLL_INTERVAL };
        let address = record.target.address;
        let (pool, sender) = (self.dependencies.pool.clone(), self.sender.clone());
        if !record.reports {
            monoio::spawn(async move {
                let is_up = pool.take(address, TIMEOUTS).await.is_ok();
                let _ = sender.unbounded_send(Message::Probed { key, is_up, next });
            });
            return;
        }
        monoio::spawn(async move {
            let report = fetch_load_report(&pool, address).await;
            let _ = sender.unbounded_send(Message::Report { key, report, next });
        });
    }
}
