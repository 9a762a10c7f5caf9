use std::time::Duration;

use tamarackdock_route::{Key, State};
use tamarackdock_types::clock::Instant;
use tamarackdock_wire::client::Deadlines;

use super::{Message, state::Router};
use crate::engine::fetch_load;

/// With a subset of 20 targets this is 3 KB/s for each node.
const WARM_INTERVAL: Duration = Duration::from_secs(2);
const OTHER_INTERVAL: Duration = Duration::from_millis(250);
const DEADLINES: Deadlines = Deadlines {
    connect: Duration::from_millis(500),
    first_byte: Duration::from_secs(1),
    between_bytes: Duration::from_secs(1),
};

impl Router {
    /// Polls the load of the targets that are due.
    pub(super) fn poll_due(&mut self, now: Instant) {
        let due = self
            .extra
            .iter()
            .filter(|(key, _)| self.assigned.has(**key))
            .filter(|(_, extra)| extra.reports || extra.is_silent || !extra.health.is_up())
            .filter(|(_, extra)| extra.next_poll.is_some_and(|at| now >= at));
        let due: Vec<Key> = due.map(|(key, _)| *key).collect();
        for key in due {
            self.poll(key, now);
        }
    }

    /// Polls a target's load now.
    pub(super) fn poll(&mut self, key: Key, now: Instant) {
        let is_warm = self.table.get(key).is_some_and(|target| target.state == State::Warm);
        let Some(extra) = self.extra.get_mut(&key) else { return };
        extra.next_poll = None;
        let next = now + if is_warm { WARM_INTERVAL } else { OTHER_INTERVAL };
        let address = extra.target.address;
        let (pool, sender) = (self.parts.pool.clone(), self.sender.clone());
        if !extra.reports {
            monoio::spawn(async move {
                let is_up = pool.take(address, DEADLINES).await.is_ok();
                let _ = sender.unbounded_send(Message::Probed { key, is_up, next });
            });
            return;
        }
        monoio::spawn(async move {
            let report = fetch_load(&pool, address).await;
            let _ = sender.unbounded_send(Message::Report { key, report, next });
        });
    }
}
