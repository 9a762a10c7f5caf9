use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use tamarackdock_types::clock::Instant;

use super::report::{Observed, Report};

/// Shortest time between two reports.
const MIN_INTERVAL: Duration = Duration::from_millis(500);
/// Most messages a second of one host. Each is a connection of its own and costs a small host
/// about half a millisecond of its processor.
const MAX_MESSAGES_PER_S: u32 = 24;
/// Time for which a host that rejects reports, as an earlier release does, gets none.
const SKIP_TIME: Duration = Duration::from_mins(1);

/// Returns the time between two reports to a number of other hosts.
#[must_use]
pub fn interval(hosts: usize) -> Duration {
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    MIN_INTERVAL.max(Duration::from_secs(hosts.into()) / MAX_MESSAGES_PER_S)
}

/// Decides when this host reports to which others.
#[derive(Debug, Clone, Default)]
pub struct Outbox {
    sequence: u64,
    /// The observations that were last to be sent, and how often they have changed.
    last: Vec<Observed>,
    version: u64,
    sent: Option<Instant>,
    /// Version that each host has got.
    informed: BTreeMap<Rc<str>, u64>,
    skipped_until: BTreeMap<Rc<str>, Instant>,
    /// Version that each host was sent and has not answered.
    awaited: BTreeMap<Rc<str>, u64>,
}

impl Outbox {
    /// Returns the next report of this process.
    pub fn report(&mut self, host: Rc<str>, run: u64, targets: Vec<Observed>) -> Report {
        self.sequence += 1;
        Report::new(host, run, self.sequence, targets)
    }

    /// Returns the hosts that are sent the observations now: none before the interval has passed,
    /// and only those that did not get the last ones if nothing has changed but the ages.
    pub fn due(
        &mut self,
        targets: &[Observed],
        hosts: &BTreeSet<Rc<str>>,
        now: Instant,
    ) -> Vec<Rc<str>> {
        if self.sent.is_some_and(|sent| now.since(sent) < interval(hosts.len())) {
            return Vec::new();
        }
        if !self.is_known(targets) {
            self.version += 1;
            self.last = targets.to_vec();
        }
        self.informed.retain(|host, _| hosts.contains(host));
        self.skipped_until.retain(|_, until| now < *until);
        let is_due = |host: &&Rc<str>| {
            self.informed.get(*host) != Some(&self.version)
                && !self.skipped_until.contains_key(*host)
                && !self.awaited.contains_key(*host)
        };
        let due: Vec<Rc<str>> = hosts.iter().filter(is_due).cloned().collect();
        if !due.is_empty() {
            self.sent = Some(now);
            self.awaited.extend(due.iter().map(|host| (host.clone(), self.version)));
        }
        due
    }

    /// Returns whether the last observations said the same.
    fn is_known(&self, targets: &[Observed]) -> bool {
        let mut pairs = self.last.iter().zip(targets);
        self.last.len() == targets.len() && pairs.all(|(last, next)| last.says_the_same(next))
    }

    /// Records the response of a host, or that there was none. It is sent the next report also if
    /// nothing changes.
    pub fn answered(&mut self, host: &Rc<str>, is_received: bool) {
        if let Some(version) = self.awaited.remove(host).filter(|_| is_received) {
            self.informed.insert(host.clone(), version);
        }
    }

    /// Records that a host does not know reports. Returns whether that is new.
    pub fn rejected(&mut self, host: &Rc<str>, now: Instant) -> bool {
        self.awaited.remove(host);
        self.skipped_until.insert(host.clone(), now + SKIP_TIME).is_none()
    }
}
