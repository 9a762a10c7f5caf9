use std::collections::HashMap;

use tamarackdock_types::clock::Instant;

use super::{Grant, Request, Timing};

/// Holding side of one target's credits, on each node that sends calls to it.
#[derive(Debug, Clone)]
pub struct Holder {
    timing: Timing,
    next_number: u64,
    /// Time of each request that has not been answered, by number.
    pending_requests: HashMap<u64, Instant>,
    /// Credits and expiry of each grant.
    grants: Vec<(u32, Instant)>,
    in_use: u32,
}

impl Holder {
    /// Creates a holder without credits. `first_number` must differ between
    /// incarnations of a node (use a random value), so that a reply to a former
    /// incarnation is not mistaken for one to this incarnation.
    #[must_use]
    pub fn new(timing: Timing, first_number: u64) -> Self {
        Self {
            timing,
            next_number: first_number,
            pending_requests: HashMap::new(),
            grants: Vec::new(),
            in_use: 0,
        }
    }

    /// Returns a request for `wanted` credits, to be sent to the granter.
    pub fn ask(&mut self, wanted: u32, now: Instant) -> Request {
        self.expire(now);
        let number = self.next_number;
        self.next_number = self.next_number.wrapping_add(1);
        self.pending_requests.insert(number, now);
        Request { number, wanted }
    }

    /// Accepts a grant, whose validity counts from the time of its request.
    /// Late, repeated and unknown grants are ignored.
    pub fn accept(&mut self, grant: Grant, now: Instant) {
        self.expire(now);
        if let Some(requested_at) = self.pending_requests.remove(&grant.number) {
            self.grants.push((grant.credits, requested_at + self.timing.validity));
        }
    }

    /// Returns the sum of credits that have not expired.
    #[must_use]
    pub fn in_force(&self, now: Instant) -> u32 {
        self.grants
            .iter()
            .filter(|(_, expires_at)| now < *expires_at)
            .map(|(credits, _)| credits)
            .sum()
    }

    /// Uses a credit for a call and returns whether one was free.
    pub fn start(&mut self, now: Instant) -> bool {
        let is_free = self.in_use < self.in_force(now);
        self.in_use += u32::from(is_free);
        is_free
    }

    /// Frees the credit of a call that has ended.
    pub fn finish(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// Drops expired credits and returns how many running calls no longer have
    /// one. These calls must be cancelled and moved to another target.
    pub fn expire(&mut self, now: Instant) -> u32 {
        self.grants.retain(|(_, expires_at)| now < *expires_at);
        let validity = self.timing.validity;
        self.pending_requests.retain(|_, requested_at| now < *requested_at + validity);
        self.in_use.saturating_sub(self.in_force(now))
    }
}
