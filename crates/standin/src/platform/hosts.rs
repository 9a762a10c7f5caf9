use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use tamarackdock_platform::host::Host;

/// Host list whose changes become visible after a lag.
#[derive(Debug)]
pub struct HostList {
    /// Time after which a change becomes visible.
    pub lag: Duration,
    changes: VecDeque<(Instant, Vec<Host>)>,
}

impl HostList {
    pub(super) fn new() -> Self {
        Self { lag: Duration::ZERO, changes: VecDeque::new() }
    }

    /// Sets the hosts that are visible after the lag.
    pub fn set(&mut self, hosts: Vec<Host>) {
        self.changes.push_back((Instant::now(), hosts));
    }

    /// Returns the currently visible hosts, which are none until the first change is visible.
    pub fn visible(&mut self) -> Vec<Host> {
        while self.changes.get(1).is_some_and(|(at, _)| at.elapsed() >= self.lag) {
            self.changes.pop_front();
        }
        let first = self.changes.front().filter(|(at, _)| at.elapsed() >= self.lag);
        first.map(|(_, hosts)| hosts.clone()).unwrap_or_default()
    }
}
