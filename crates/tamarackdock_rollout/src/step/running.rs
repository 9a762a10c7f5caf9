use tamarackdock_types::{TargetName, clock::Instant, weight::Version};

use super::progress::Progress;
use crate::attempt::Attempt;

/// An attempt in progress.
#[derive(Debug)]
pub(super) struct Running {
    pub(super) slot: u32,
    pub(super) progress: Progress,
    pub(super) target: Option<TargetName>,
    pub(super) started: Instant,
    /// Failures of the slot before this attempt.
    pub(super) failures: u32,
    pub(super) pair: Option<Pair>,
}

/// The other attempt of a slot that has two.
#[derive(Debug, Clone, Copy)]
pub(super) struct Pair {
    pub(super) other: Attempt,
    /// Tokens that this attempt had when the second one started.
    pub(super) base: u32,
}

impl Running {
    /// Returns the count of tokens generated since the second attempt started.
    pub(super) fn since_pair(&self) -> u64 {
        let base = self.pair.map_or(0, |pair| pair.base);
        u64::from(self.progress.len().saturating_sub(base))
    }

    /// Returns whether the tokens so far include some of a version older than `floor`.
    pub(super) fn is_older_than(&self, floor: Version) -> bool {
        self.progress.oldest().is_some_and(|oldest| oldest < floor)
    }
}
