//! How often nodes call the store when there are many of them. Each periodic
//! call of a node has a share of the store's rates that all nodes together keep
//! to, so that the load on the store does not grow with their number. See
//! `docs/CAPACITY.md`.

use std::time::Duration;

use serde::Deserialize;

/// Calls a second that the store takes from all nodes together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rates {
    /// Reads.
    pub reads_per_s: u32,
    /// Transactions on one part of the tables.
    pub part_writes_per_s: u32,
}

/// The rates of the smallest store that is known.
impl Default for Rates {
    fn default() -> Self {
        Self { reads_per_s: 2_000, part_writes_per_s: 200 }
    }
}

/// Which rate a call counts against.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Read,
    PartWrite,
}

/// A periodic call of each node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Pace {
    /// Time between calls of a node among few.
    pub(crate) shortest: Duration,
    kind: Kind,
    /// Share of the rate that all nodes together keep to.
    percent: u32,
}

const fn reads(shortest_ms: u64, percent: u32) -> Pace {
    Pace { shortest: Duration::from_millis(shortest_ms), kind: Kind::Read, percent }
}

const fn part_writes(shortest_ms: u64, percent: u32) -> Pace {
    Pace { shortest: Duration::from_millis(shortest_ms), kind: Kind::PartWrite, percent }
}

// The reads add up to half of the rate. The rest is for batch jobs, and for the
// feed of orders, which each node reads at least once a second as proof for its keys.

/// Renewals of a node's row, which lies in one part with those of all others.
pub(crate) const RENEWALS: Pace = part_writes(450, 50);
/// Writes of a node's usage counts, in one part as well.
pub(crate) const USAGE: Pace = part_writes(700, 50);
/// Reads of the rows of all nodes.
pub(crate) const MEMBERS: Pace = reads(450, 15);
/// Reads of the feed of targets. Targets write about once a second each, and the
/// pause lets one answer carry several of these writes.
pub(crate) const TARGETS: Pace = reads(150, 15);
/// Reads of the feed of batch jobs. Their owners are told directly.
pub(crate) const JOBS: Pace = reads(0, 15);
/// Reads of the requests that crash targets. Nodes must know of a crash within 3 s.
pub(crate) const CRASHES: Pace = reads(900, 5);
/// Tries of a feed that failed, in place of its reads.
pub(crate) const RETRIES: Pace = reads(120, 15);
/// Looks whether the direct way to the store works again.
pub(crate) const PROBES: Pace = reads(300, 5);

/// Largest exponent of the pause between tries while the number of nodes is not
/// known: 8 times the shortest one.
const MAX_DOUBLINGS: u32 = 3;

impl Pace {
    /// Returns the time between calls of one of so many nodes.
    pub(crate) fn interval(self, nodes: usize, rates: Rates) -> Duration {
        let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
        let rate = match self.kind {
            Kind::Read => rates.reads_per_s,
            Kind::PartWrite => rates.part_writes_per_s,
        };
        // The settings refuse a rate of 0.
        let all = (rate * self.percent / 100).max(1);
        self.shortest.max(Duration::from_secs(1).saturating_mul(nodes) / all)
    }

    /// Returns the pause after a call that failed, the given number of times in a
    /// row. `random` from 0 to 1 spreads nodes that failed at the same time, as they
    /// do when all of them start at once.
    pub(crate) fn retry_pause(
        self,
        failures: u32,
        nodes: usize,
        rates: Rates,
        random: f64,
    ) -> Duration {
        let mean = match nodes {
            0 => self.shortest * 2_u32.pow(failures.saturating_sub(1).min(MAX_DOUBLINGS)),
            nodes => self.interval(nodes, rates),
        };
        mean.mul_f64(0.5 + random)
    }
}
