use tamarackdock_types::{TargetName, clock::Instant, weight::Version};

use super::progress::Progress;
use crate::attempt::Attempt;

/// A running attempt and the tokens that it has generated.
#[derive(Debug)]
pub(super) struct RunningAttempt {
    pub(super) slot: u32,
    pub(super) progress: Progress,
    pub(super) target: Option<TargetName>,
    pub(super) started: Instant,
    /// Failures in a row of the slot before this attempt.
    pub(super) failures: u32,
    pub(super) sibling: Option<Sibling>,
}

/// The other attempt of a slot that has two.
#[derive(Debug, Clone, Copy)]
pub(super) struct Sibling {
    pub(super) attempt: Attempt,
    /// Tokens that the first attempt had when the second one started, and with
    /// which the second one started.
    pub(super) shared_tokens: u32,
}

impl RunningAttempt {
    /// Returns the number of tokens generated since the second attempt started.
    pub(super) fn tokens_since_second(&self) -> u64 {
        let shared_tokens = self.sibling.map_or(0, |sibling| sibling.shared_tokens);
        u64::from(self.progress.len().saturating_sub(shared_tokens))
    }

    /// Returns whether a token is of a weight version older than `oldest_allowed`.
    pub(super) fn has_tokens_older_than(&self, oldest_allowed: Version) -> bool {
        self.progress.oldest().is_some_and(|oldest| oldest < oldest_allowed)
    }
}
