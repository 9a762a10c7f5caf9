//! Whether a refusal says something about the target or about the request.
//!
//! The load that this is made for is a trainer's step in which some items fit no target, such as
//! a group of items that are larger than the memory of any engine. A target refuses such an item
//! exactly as it does when it is full or loads weights. An item that stands for the state of each
//! target that it is sent to keeps all other items from starting.
//!
//! The evidence is what a target accepts after it has refused a request. While a target is full or
//! loads weights, it accepts nothing else either. If targets go on to accept other requests for
//! the same model, one refusal after the other, the refusals concern the request. See
//! `docs/incidents/requests-that-fit-no-target.md`.

use std::{collections::VecDeque, rc::Rc, time::Duration};

use tamarackdock_types::clock::Instant;

#[cfg(test)]
mod tests;

/// Number of contradicted refusals from which on refusals concern the request. A target with one
/// free slot for two requests contradicts a single refusal.
const CONTRADICTED_REFUSALS: u32 = 3;
/// Refusals whose contradiction is waited for. Older ones are forgotten.
const MAX_OPEN_REFUSALS: usize = 16;
/// Shortest pause after a refusal.
pub const SHORTEST_PAUSE: Duration = Duration::from_millis(30);
/// Longest pause after a refusal. The request remains owed, and a target with more memory may
/// appear.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// Largest number of doublings, beyond which the pause is the longest one.
const MAX_DOUBLINGS: u32 = 7;

/// What a refusal says something about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Subject {
    /// The target can't take any request now.
    Target,
    /// The request fits no target, or none that it was sent to.
    Request,
}

/// The refusals of one request since a target last accepted it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct History {
    /// Refusals that may still be contradicted, oldest first.
    open: VecDeque<Refusal>,
    /// Number of contradicted refusals.
    contradicted: u32,
    /// Number of all refusals.
    count: u32,
}

/// A target that refused the request, and when.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Refusal {
    target: Rc<str>,
    at: Instant,
}

impl History {
    /// Records a refusal and returns what it concerns. `last_accepted` returns when a target last
    /// accepted another request for the same model.
    pub fn record(
        &mut self,
        target: &Rc<str>,
        last_accepted: impl Fn(&str) -> Option<Instant>,
        now: Instant,
    ) -> Subject {
        let before = self.open.len();
        self.open.retain(|refusal| {
            last_accepted(&refusal.target).is_none_or(|accepted| accepted <= refusal.at)
        });
        let contradicted = u32::try_from(before - self.open.len()).unwrap_or(u32::MAX);
        self.contradicted = self.contradicted.saturating_add(contradicted);
        self.count = self.count.saturating_add(1);
        if self.open.len() == MAX_OPEN_REFUSALS {
            self.open.pop_front();
        }
        self.open.push_back(Refusal { target: target.clone(), at: now });
        self.subject()
    }

    /// Returns what the next refusal is expected to concern.
    #[must_use]
    pub fn subject(&self) -> Subject {
        if self.contradicted >= CONTRADICTED_REFUSALS { Subject::Request } else { Subject::Target }
    }

    /// Returns the number of refusals in a row.
    #[must_use]
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Returns the pause before the request is sent again. It doubles with each contradicted
    /// refusal once they concern the request.
    #[must_use]
    pub fn pause(&self) -> Duration {
        let doublings = self.contradicted.saturating_sub(CONTRADICTED_REFUSALS - 1);
        (SHORTEST_PAUSE * 2_u32.pow(doublings.min(MAX_DOUBLINGS))).min(LONGEST_PAUSE)
    }
}
