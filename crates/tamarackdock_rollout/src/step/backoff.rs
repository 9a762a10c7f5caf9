use std::time::Duration;

const MIN_DELAY: Duration = Duration::from_millis(100);
/// Longest delay, so that attempts, reads and writes start again soon after the end
/// of an outage.
const MAX_DELAY: Duration = Duration::from_secs(5);

/// Returns the delay after a number of failures in a row, at least one. It
/// doubles with each failure after the first.
pub(super) fn delay(failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(10);
    (MIN_DELAY * 2u32.pow(doublings)).min(MAX_DELAY)
}
