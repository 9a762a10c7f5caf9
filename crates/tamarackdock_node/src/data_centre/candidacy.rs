use std::time::Duration;

use tamarackdock_types::clock::Instant;

/// Time without a renewal after which nodes of other data centres become
/// candidates. Longer than a takeover by a node of the same data centre takes.
const REMOTE_CANDIDACY_DELAY: Duration = Duration::from_secs(10);

/// A lease row as read from the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ObservedRow {
    /// 0 if the row does not exist.
    pub(super) revision: u64,
    /// Whether this node holds the lease.
    pub(super) is_own: bool,
}

/// Decides whether a node is a candidate for a data centre's lease.
#[derive(Debug)]
pub(super) struct Candidacy {
    is_local: bool,
    revision: u64,
    /// When the revision was first read.
    since: Instant,
}

impl Candidacy {
    /// Creates the state of a node. `is_local` tells whether it lies in the data centre.
    pub(super) fn new(is_local: bool, now: Instant) -> Self {
        Self { is_local, revision: 0, since: now }
    }

    /// Returns whether the node lies in the data centre.
    pub(super) fn is_local(&self) -> bool {
        self.is_local
    }

    /// Records a lease row and returns whether the node is a candidate.
    pub(super) fn observe(&mut self, now: Instant, row: ObservedRow) -> bool {
        if self.is_local || row.is_own {
            return true;
        }
        if row.revision != self.revision {
            (self.revision, self.since) = (row.revision, now);
        }
        now.since(self.since) >= REMOTE_CANDIDACY_DELAY
    }
}
