//! How often nodes call the store when there are many of them. Each periodic
//! call of a node has a rate that all nodes together keep to, so that the load on
//! the store does not grow with their number. See `docs/CAPACITY.md`.

use std::time::Duration;

/// A periodic call of each node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Pace {
    /// Time between calls of a node among few.
    pub(crate) shortest: Duration,
    /// Calls a second that all nodes together keep to.
    pub(crate) all_per_second: u32,
}

// The rates add up to 200 of 800 writes and 1,000 of 2,000 reads a second, which
// the smaller stores take. The rest is for batch jobs, and for the feed of orders,
// which each node reads at least once a second as proof for its keys.

/// Renewals of a node's row, which lies in one part with those of all others. A
/// part takes 200 writes a second.
pub(crate) const RENEWALS: Pace =
    Pace { shortest: Duration::from_millis(450), all_per_second: 100 };
/// Writes of a node's usage counts, in one part as well.
pub(crate) const USAGE: Pace = Pace { shortest: Duration::from_millis(700), all_per_second: 100 };
/// Reads of the rows of all nodes.
pub(crate) const MEMBERS: Pace = Pace { shortest: Duration::from_millis(450), all_per_second: 300 };
/// Reads of the feed of targets. Targets write about once a second each, and the
/// pause lets one answer carry several of these writes.
pub(crate) const TARGETS: Pace = Pace { shortest: Duration::from_millis(150), all_per_second: 300 };
/// Reads of the feed of batch jobs. Their owners are told directly.
pub(crate) const JOBS: Pace = Pace { shortest: Duration::ZERO, all_per_second: 300 };
/// Reads of the requests that crash targets. Nodes must know of a crash within 3 s.
pub(crate) const CRASHES: Pace = Pace { shortest: Duration::from_millis(900), all_per_second: 100 };

impl Pace {
    /// Returns the time between calls of one of so many nodes.
    pub(crate) fn interval(self, nodes: usize) -> Duration {
        let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
        self.shortest.max(Duration::from_secs(1).saturating_mul(nodes) / self.all_per_second)
    }
}
