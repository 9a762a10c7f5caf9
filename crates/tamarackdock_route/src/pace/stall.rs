use std::time::Duration;

use super::first_event::SHORTEST_TIMEOUT;

/// Longest silence between two events of a run. Loads of weights pause the runs of a target.
pub const LONGEST_STALL: Duration = Duration::from_millis(1800);
/// Multiple of the usual time between two events after which a run is stalled. Targets turn up to
/// four times slower for some seconds, and hosts read late now and then.
const STALL_FACTOR: u32 = 15;

/// Returns the silence after an event at which a run ends, to go on at another target. `interval`
/// is the usual time between two events on the target, if it is known, and `may_pause` says that
/// the target has a reason to pause its runs.
#[must_use]
pub fn stall_timeout(interval: Option<Duration>, may_pause: bool) -> Duration {
    let learned = interval.filter(|_| !may_pause).map(|interval| interval * STALL_FACTOR);
    learned.unwrap_or(LONGEST_STALL).clamp(SHORTEST_TIMEOUT, LONGEST_STALL)
}
