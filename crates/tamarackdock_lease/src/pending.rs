use std::time::Duration;

use tamarackdock_platform::table::Commit;
use tamarackdock_types::{clock::Instant, fence::Epoch};

/// What a pending write changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Change {
    /// Takes the row; orders of earlier epochs can arrive for `quiet`.
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
    /// Repeated unchanged, with the same operation id and preconditions.
    pub(crate) commit: Commit,
    /// Time before the first try was sent. Any of the tries may be the one that
    /// takes effect, so validity counts from the first.
    pub(crate) sent: Instant,
    /// Whether the row must be read before the next try.
    pub(crate) unsettled: bool,
}

impl Pending {
    /// Returns the revision that the lease row must have.
    pub(crate) fn expected(&self) -> u64 {
        self.commit.conditions[0].revision
    }
}
