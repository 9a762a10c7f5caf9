use std::time::Duration;

const FIRST: Duration = Duration::from_millis(100);
/// Bounds the time between the end of an outage and the next attempt.
const LONGEST: Duration = Duration::from_secs(5);

/// Returns the delay after a number of failures in a row, at least one.
pub(super) fn delay(failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(10);
    (FIRST * 2u32.pow(doublings)).min(LONGEST)
}
