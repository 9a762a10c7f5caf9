use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use tamarackdock_platform::host::Host;

/// The host list, which shows changes after a lag.
#[derive(Debug)]
pub struct HostList {
    /// Time after which a change is shown.
    pub lag: Duration,
    changes: VecDeque<(Instant, Vec<Host>)>,
}

impl HostList {
    pub(super) fn new() -> Self {
        Self { lag: Duration::ZERO, changes: VecDeque::new() }
    }

    /// Changes the list.
    pub fn set(&mut self, hosts: Vec<Host>) {
        self.changes.push_back((Instant::now(), hosts));
    }

    /// Returns the list as the platform shows it at present.
    pub fn shown(&mut self) -> Vec<Host> {
        while self.changes.get(1).is_some_and(|(at, _)| at.elapsed() >= self.lag) {
            self.changes.pop_front();
        }
        let first = self.changes.front().filter(|(at, _)| at.elapsed() >= self.lag);
        first.map(|(_, hosts)| hosts.clone()).unwrap_or_default()
    }
}
