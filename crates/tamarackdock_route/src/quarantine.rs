//! Quarantine of requests that crash targets, by fingerprint.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use tamarackdock_types::{TargetName, clock::Instant};

#[cfg(test)]
mod tests;

/// Number of targets that a request must have crashed to be quarantined.
const CRASHED_TARGETS: usize = 2;

/// A quarantined request, as sent to other nodes. It has the remaining time, since
/// clocks of nodes differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Time until the entry expires.
    pub remaining: Duration,
}

/// Fingerprints of the requests that are in flight, suspected or quarantined.
#[derive(Debug, Clone)]
pub struct Quarantine {
    span: Duration,
    in_flight: HashMap<TargetName, HashMap<u64, InFlight>>,
    suspects: HashMap<u64, Suspect>,
    quarantined: HashMap<u64, Instant>,
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
    expires_at: Instant,
}

impl Quarantine {
    /// Creates an empty quarantine whose entries expire after `span`.
    #[must_use]
    pub fn new(span: Duration) -> Self {
        Self {
            span,
            in_flight: HashMap::new(),
            suspects: HashMap::new(),
            quarantined: HashMap::new(),
        }
    }

    /// Returns whether a request is quarantined and must be refused.
    #[must_use]
    pub fn is_quarantined(&self, fingerprint: u64, now: Instant) -> bool {
        self.quarantined.get(&fingerprint).is_some_and(|expires_at| now < *expires_at)
    }

    /// Records that a request is sent to a target.
    pub fn start(&mut self, fingerprint: u64, target: &TargetName, now: Instant) {
        let requests = self.in_flight.entry(target.clone()).or_default();
        let request = requests.entry(fingerprint).or_insert(InFlight { count: 0, last_start: now });
        request.count += 1;
        request.last_start = now;
    }

    /// Records the end of a request on a target that has not crashed.
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

    /// Records a crash and returns the requests that it puts into quarantine.
    ///
    /// A crash counts against a request only if the request was sent after the
    /// last crash that counted against it. Otherwise targets that are lost
    /// together would quarantine the equal requests that they ran at the same time.
    pub fn record_crash(&mut self, target: &TargetName, now: Instant) -> Vec<Entry> {
        self.expire(now);
        let mut entries = Vec::new();
        for (fingerprint, request) in self.in_flight.remove(target).unwrap_or_default() {
            let expires_at = now + self.span;
            let new_suspect =
                || Suspect { targets: HashSet::new(), last_crash: request.last_start, expires_at };
            let suspect = self.suspects.entry(fingerprint).or_insert_with(new_suspect);
            if request.last_start < suspect.last_crash {
                continue;
            }
            suspect.expires_at = expires_at;
            suspect.last_crash = now;
            suspect.targets.insert(target.clone());
            if suspect.targets.len() >= CRASHED_TARGETS {
                self.suspects.remove(&fingerprint);
                self.quarantined.insert(fingerprint, expires_at);
                entries.push(Entry { fingerprint, remaining: self.span });
            }
        }
        entries
    }

    /// Adds an entry of another node. The later expiry wins, so that the order
    /// and the number of messages make no difference.
    pub fn merge(&mut self, entry: Entry, now: Instant) {
        let expires_at = now + entry.remaining.min(self.span);
        let current = self.quarantined.entry(entry.fingerprint).or_insert(expires_at);
        *current = expires_at.max(*current);
    }

    /// Drops expired entries and suspects.
    pub fn expire(&mut self, now: Instant) {
        self.quarantined.retain(|_, expires_at| now < *expires_at);
        self.suspects.retain(|_, suspect| now < suspect.expires_at);
    }
}
