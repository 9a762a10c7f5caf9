use std::time::Duration;

use tamarackdock_platform::table::Commit;
use tamarackdock_types::{clock::Instant, fence::Epoch};

/// The change that a pending write makes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Change {
    /// Takes the row. Orders of earlier epochs can still arrive for the span `quiet`.
    Acquire {
        epoch: Epoch,
        quiet: Duration,
    },
    Renew,
    Release,
}

/// A write whose outcome is not known yet.
#[derive(Debug, Clone)]
pub(crate) struct Pending {
    pub(crate) change: Change,
    /// The commit, which retries repeat unchanged, with the same operation id and conditions.
    pub(crate) commit: Commit,
    /// Time before the first attempt was sent. Any of the attempts may be the one that
    /// takes effect, so validity counts from the first.
    pub(crate) first_sent: Instant,
    /// Whether the row must be read before the next attempt, to see whether an earlier one
    /// took effect.
    pub(crate) needs_read: bool,
}

impl Pending {
    /// Returns the revision that the lease row must have for the commit to succeed.
    pub(crate) fn expected_revision(&self) -> u64 {
        self.commit.conditions[0].revision
    }
}
