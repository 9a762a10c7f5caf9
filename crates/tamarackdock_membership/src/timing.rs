use std::time::Duration;

/// Time between two probes by one node, and the time within which a probe must be answered.
pub const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// Time without an answer after which other members are asked to probe.
pub const INDIRECT_AFTER: Duration = Duration::from_millis(350);
/// Number of other members that are asked to probe.
pub const INDIRECT_PROBES: usize = 3;
/// Time that a suspected member has to refute the suspicion before it is declared dead.
pub const SUSPECT_FOR: Duration = Duration::from_secs(3);
/// Time after which a dead member that is no longer in the host list is removed.
pub const FORGET_AFTER: Duration = Duration::from_mins(1);
/// Number of messages that carry a change, more than twice the binary logarithm of 420.
pub const GOSSIP_REPEATS: u32 = 20;
/// Number of dead members that are probed in one period.
pub const DEAD_PROBES: usize = 2;
/// Largest size of a digest in bytes, measured in JSON, which is longer than the binary form
/// that is sent. It holds 3 statuses with names of 64 bytes or 5 with names of 20.
pub const DIGEST_BYTES: usize = 500;
/// Largest size of a message in bytes, measured in JSON.
///
/// Each second a node sends a probe and receives its answer, and on average receives a probe and
/// answers it: 4 messages of at most 900 bytes, that is 3,600 of the 5,000 bytes/s allowed
/// for all control traffic, whatever the number of nodes.
pub const MESSAGE_BYTES: usize = 900;

/// Returns the time within which each of `nodes` nodes detects a dead member by its
/// own probes. A member may be first in one round and last in the next.
#[must_use]
pub fn detection_bound(nodes: u32) -> Duration {
    PROBE_PERIOD * (2 * nodes.saturating_sub(1) + 1) + SUSPECT_FOR
}
