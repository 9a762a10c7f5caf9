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
    in_flight: HashMap<TargetName, HashMap<u64, u32>>,
    suspects: HashMap<u64, Suspect>,
    held: HashMap<u64, Instant>,
}

#[derive(Debug, Clone)]
struct Suspect {
    targets: HashSet<TargetName>,
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
    pub fn start(&mut self, fingerprint: u64, target: &TargetName) {
        let requests = self.in_flight.entry(target.clone()).or_default();
        *requests.entry(fingerprint).or_default() += 1;
    }

    /// Counts the end of a request on a target that has not crashed.
    pub fn finish(&mut self, fingerprint: u64, target: &TargetName) {
        let Some(requests) = self.in_flight.get_mut(target) else { return };
        if let Some(count) = requests.get_mut(&fingerprint) {
            *count -= 1;
            if *count == 0 {
                requests.remove(&fingerprint);
            }
        }
        if requests.is_empty() {
            self.in_flight.remove(target);
        }
    }

    /// Takes a crash and returns the requests that are quarantined by it.
    pub fn crash(&mut self, target: &TargetName, now: Instant) -> Vec<Entry> {
        self.expire(now);
        let mut entries = Vec::new();
        for fingerprint in self.in_flight.remove(target).unwrap_or_default().into_keys() {
            let until = now + self.span;
            let suspect = self
                .suspects
                .entry(fingerprint)
                .or_insert_with(|| Suspect { targets: HashSet::new(), until });
            suspect.until = until;
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
