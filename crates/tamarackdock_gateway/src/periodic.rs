//! Intervals of the periodic calls of nodes to the store. Each periodic call has a
//! share of the store's rate limits that all nodes together keep to, so that the
//! load on the store does not grow with the number of nodes. See
//! `docs/CAPACITY.md`.

use std::time::Duration;

use serde::Deserialize;

/// Calls a second that the store accepts from all nodes together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rates {
    /// Reads, including polls of feeds.
    pub reads_per_s: u32,
    /// Transactions on one part of a table.
    pub part_writes_per_s: u32,
}

/// The rates of the smallest known store.
impl Default for Rates {
    fn default() -> Self {
        Self { reads_per_s: 2_000, part_writes_per_s: 200 }
    }
}

/// The rate that a call counts against.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Read,
    PartWrite,
}

/// A call that each node repeats at intervals.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PeriodicCall {
    /// Time between calls of a node in a small deployment.
    pub(crate) shortest: Duration,
    kind: Kind,
    /// Percentage of the rate that all nodes together keep to.
    percent: u32,
}

const fn reads(shortest_ms: u64, percent: u32) -> PeriodicCall {
    PeriodicCall { shortest: Duration::from_millis(shortest_ms), kind: Kind::Read, percent }
}

const fn part_writes(shortest_ms: u64, percent: u32) -> PeriodicCall {
    PeriodicCall { shortest: Duration::from_millis(shortest_ms), kind: Kind::PartWrite, percent }
}

// The reads add up to half of the rate. The rest is for batch jobs and for the feed
// of orders, which each node polls at least once a second to prove its keys fresh.

/// Renewals of a node's row. The rows of all nodes are in one part of the table.
pub(crate) const RENEWALS: PeriodicCall = part_writes(450, 50);
/// Writes of a node's usage counts, which are in one part of the table as well.
pub(crate) const USAGE: PeriodicCall = part_writes(700, 50);
/// Writes of the streams that a node has begun, for one of several parts.
pub(crate) const BEGINNINGS: PeriodicCall = part_writes(200, 50);
/// Reads of the rows of all nodes.
pub(crate) const MEMBERS: PeriodicCall = reads(450, 15);
/// Polls of the targets feed. Each target writes about once a second, and the pause
/// lets one response carry several of these writes.
pub(crate) const TARGETS: PeriodicCall = reads(150, 15);
/// Polls of the feed of batch jobs. The owners of jobs are also notified directly.
pub(crate) const JOBS: PeriodicCall = reads(0, 15);
/// Reads of the rows of requests that crash targets. Nodes must know of a crash within 3 s.
pub(crate) const CRASHES: PeriodicCall = reads(900, 5);
/// Retries of a feed whose poll failed, in place of its polls.
pub(crate) const RETRIES: PeriodicCall = reads(120, 15);
/// Probes whether the direct path to the store works again.
pub(crate) const PROBES: PeriodicCall = reads(300, 5);

/// Largest number of doublings of the pause between retries while the number of nodes
/// is not known, which gives 8 times the shortest pause.
const MAX_DOUBLINGS: u32 = 3;

impl PeriodicCall {
    /// Returns the time between calls of each node in a deployment of `nodes` nodes.
    pub(crate) fn interval(self, nodes: usize, rates: Rates) -> Duration {
        let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
        let rate = match self.kind {
            Kind::Read => rates.reads_per_s,
            Kind::PartWrite => rates.part_writes_per_s,
        };
        // The settings reject a rate of 0.
        let all_nodes = (rate * self.percent / 100).max(1);
        self.shortest.max(Duration::from_secs(1).saturating_mul(nodes) / all_nodes)
    }

    /// Returns the pause after `failures` failed calls in a row. `random`, from 0 to 1,
    /// spreads the retries of nodes that failed at the same time, as happens when all
    /// of them start at once. `nodes` is 0 while their number is not known.
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
