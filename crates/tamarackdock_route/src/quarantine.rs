//! Requests that crash targets, by fingerprint.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use tamarackdock_types::{TargetName, clock::Instant};

#[cfg(test)]
mod tests;

const CRASHES: usize = 2;

/// An entry to be told to other nodes. Remaining time is sent, since clocks of nodes differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Time until the entry expires.
    pub remaining: Duration,
}

/// Fingerprints in flight, suspected and quarantined.
#[derive(Debug, Clone)]
pub struct Quarantine {
    span: Duration,
    in_flight: HashMap<TargetName, HashMap<u64, InFlight>>,
    suspects: HashMap<u64, Suspect>,
    held: HashMap<u64, Instant>,
}

/// Equal requests in flight on one target.
#[derive(Debug, Clone, Copy)]
struct InFlight {
    count: u32,
    last_start: Instant,
}

#[derive(Debug, Clone)]
struct Suspect {
    targets: HashSet<TargetName>,
    last_crash: Instant,
    until: Instant,
}

impl Quarantine {
    /// Makes an empty quarantine whose entries expire after `span`.
    #[must_use]
    pub fn new(span: Duration) -> Self {
        Self { span, in_flight: HashMap::new(), suspects: HashMap::new(), held: HashMap::new() }
    }

    /// Returns whether a request must be refused.
    #[must_use]
    pub fn holds(&self, fingerprint: u64, now: Instant) -> bool {
        self.held.get(&fingerprint).is_some_and(|until| now < *until)
    }

    /// Counts a request that is sent to a target.
    pub fn start(&mut self, fingerprint: u64, target: &TargetName, now: Instant) {
        let requests = self.in_flight.entry(target.clone()).or_default();
        let request = requests.entry(fingerprint).or_insert(InFlight { count: 0, last_start: now });
        request.count += 1;
        request.last_start = now;
    }

    /// Counts the end of a request on a target that has not crashed.
    pub fn finish(&mut self, fingerprint: u64, target: &TargetName) {
        let Some(requests) = self.in_flight.get_mut(target) else { return };
        if let Some(request) = requests.get_mut(&fingerprint) {
            request.count -= 1;
            if request.count == 0 {
                requests.remove(&fingerprint);
            }
        }
        if requests.is_empty() {
            self.in_flight.remove(target);
        }
    }

    /// Takes a crash and returns the requests that are quarantined by it.
    ///
    /// A crash counts against a request only if the request was sent after its
    /// former crash. Otherwise targets that vanish together would quarantine
    /// the equal requests that they ran at the same time.
    pub fn crash(&mut self, target: &TargetName, now: Instant) -> Vec<Entry> {
        self.expire(now);
        let mut entries = Vec::new();
        for (fingerprint, request) in self.in_flight.remove(target).unwrap_or_default() {
            let until = now + self.span;
            let new = || Suspect { targets: HashSet::new(), last_crash: request.last_start, until };
            let suspect = self.suspects.entry(fingerprint).or_insert_with(new);
            if request.last_start < suspect.last_crash {
                continue;
            }
            suspect.until = until;
            suspect.last_crash = now;
            suspect.targets.insert(target.clone());
            if suspect.targets.len() >= CRASHES {
                self.suspects.remove(&fingerprint);
                self.held.insert(fingerprint, until);
                entries.push(Entry { fingerprint, remaining: self.span });
            }
        }
        entries
    }

    /// Takes an entry of another node. The longer time wins, so that the
    /// order and the number of messages make no difference.
    pub fn merge(&mut self, entry: Entry, now: Instant) {
        let until = now + entry.remaining.min(self.span);
        let held = self.held.entry(entry.fingerprint).or_insert(until);
        *held = until.max(*held);
    }

    /// Drops what has expired.
    pub fn expire(&mut self, now: Instant) {
        self.held.retain(|_, until| now < *until);
        self.suspects.retain(|_, suspect| now < suspect.until);
    }
}
