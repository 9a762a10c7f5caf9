use std::time::Duration;

use super::{Estimate, Evidence, Name};

/// Shortest `Retry-After`: less than that would send retries into the same burst.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Part of the time that is left after which the caller retries at the latest, so that the retry
/// has most of it.
const RETRY_DIVISOR: u32 = 3;
/// Precision in milliseconds of `Retry-After` in responses, to which the longest one is rounded
/// down.
const RETRY_STEP_MS: u128 = 10;

/// Decision on a call before it is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// A target is expected to answer in time, or nothing tells that none is.
    Send,
    /// No target is expected to answer in time, but the host has no call in flight at this one.
    Probe {
        /// The target whose answer shows whether it has recovered.
        target: Name,
    },
    /// No target can answer in time.
    Refuse(Refusal),
}

/// A refusal of a call that has not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// What is known of the target that is expected to have room first.
    pub reason: Evidence,
    /// Time after which room is expected, within the bounds for retries.
    pub retry_after: Duration,
    /// What is known of each target.
    pub estimates: Vec<(Name, Estimate)>,
}

impl Refusal {
    /// Creates the refusal of a call that is given up after `left`, or returns `None` without
    /// targets.
    pub(super) fn new(estimates: Vec<(Name, Estimate)>, left: Duration) -> Option<Self> {
        let (_, first) = estimates.iter().min_by_key(|(_, estimate)| estimate.retry_in())?;
        let (reason, retry_in) = (first.evidence, first.retry_in());
        Some(Self { reason, retry_after: clamp_retry(retry_in, left), estimates })
    }
}

/// Returns the `Retry-After` of a call that is best sent again after `retry_in`.
fn clamp_retry(retry_in: Duration, left: Duration) -> Duration {
    let longest = left.as_millis() / u128::from(RETRY_DIVISOR);
    let millis = retry_in.as_millis().min(longest / RETRY_STEP_MS * RETRY_STEP_MS);
    Duration::from_millis(u64::try_from(millis).unwrap_or(u64::MAX)).max(MIN_RETRY_AFTER)
}
