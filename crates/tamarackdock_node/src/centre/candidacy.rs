use std::time::Duration;

use tamarackdock_types::clock::Instant;

/// Time without a renewal after which nodes of other data centres become
/// candidates. Longer than a takeover by a node of the data centre itself.
const FOREIGN_WAIT: Duration = Duration::from_secs(10);

/// A lease row as a candidate reads it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Seen {
    /// Revision, 0 for an absent row.
    pub(super) revision: u64,
    /// Whether this node holds the lease.
    pub(super) is_own: bool,
}

/// Decides whether a node is a candidate for a data centre's lease.
#[derive(Debug)]
pub(super) struct Candidacy {
    is_home: bool,
    revision: u64,
    since: Instant,
}

impl Candidacy {
    /// Makes the decision of a node, which lies in the data centre if `is_home`.
    pub(super) fn new(is_home: bool, now: Instant) -> Self {
        Self { is_home, revision: 0, since: now }
    }

    pub(super) fn is_home(&self) -> bool {
        self.is_home
    }

    /// Takes a lease row and returns whether the node is a candidate.
    pub(super) fn observe(&mut self, now: Instant, seen: Seen) -> bool {
        if self.is_home || seen.is_own {
            return true;
        }
        if seen.revision != self.revision {
            (self.revision, self.since) = (seen.revision, now);
        }
        now.since(self.since) >= FOREIGN_WAIT
    }
}
