use std::collections::HashMap;

use tamarackdock_types::clock::Instant;

use super::{Grant, Request, Terms};

/// The holding side for one target, on each node that wants to send calls.
#[derive(Debug, Clone)]
pub struct Holder {
    terms: Terms,
    next_number: u64,
    asked: HashMap<u64, Instant>,
    held: Vec<(u32, Instant)>,
    in_use: u32,
}

impl Holder {
    /// Makes a holder without credits. `first_number` must differ between
    /// incarnations of a node (use a random value), so that an answer to a
    /// former incarnation is not taken for one to this.
    #[must_use]
    pub fn new(terms: Terms, first_number: u64) -> Self {
        Self {
            terms,
            next_number: first_number,
            asked: HashMap::new(),
            held: Vec::new(),
            in_use: 0,
        }
    }

    /// Asks for credits.
    pub fn ask(&mut self, wanted: u32, now: Instant) -> Request {
        self.expire(now);
        let number = self.next_number;
        self.next_number = self.next_number.wrapping_add(1);
        self.asked.insert(number, now);
        Request { number, wanted }
    }

    /// Takes a grant. It is valid from the moment of its request, and dropped
    /// if it is late, repeated or unknown.
    pub fn grant(&mut self, grant: Grant, now: Instant) {
        self.expire(now);
        if let Some(asked) = self.asked.remove(&grant.number) {
            self.held.push((grant.credits, asked + self.terms.validity));
        }
    }

    /// Returns the credits in force.
    #[must_use]
    pub fn in_force(&self, now: Instant) -> u32 {
        self.held.iter().filter(|(_, until)| now < *until).map(|(credits, _)| credits).sum()
    }

    /// Takes a credit for a call and returns whether there was one.
    pub fn start(&mut self, now: Instant) -> bool {
        let is_free = self.in_use < self.in_force(now);
        self.in_use += u32::from(is_free);
        is_free
    }

    /// Returns the credit of a call that has ended.
    pub fn finish(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// Drops expired credits and returns how many running calls have none
    /// any more. These calls must be cancelled and moved.
    pub fn expire(&mut self, now: Instant) -> u32 {
        self.held.retain(|(_, until)| now < *until);
        let validity = self.terms.validity;
        self.asked.retain(|_, asked| now < *asked + validity);
        self.in_use.saturating_sub(self.in_force(now))
    }
}
