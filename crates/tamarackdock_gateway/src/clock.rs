//! Clocks for comparing times between hosts: the store's clock and Unix time.

use std::cell::Cell;

use tamarackdock_types::clock::Instant;

/// Estimate of the store's monotonic clock, from the times in its responses.
#[derive(Debug, Default)]
pub struct StoreClock(Cell<Option<i64>>);

impl StoreClock {
    /// Records the store's time in a response that arrived at `received`. The network
    /// only delays responses, so the largest offset is the best estimate.
    pub fn observe(&self, store_millis: u64, received: Instant) {
        let offset = signed(store_millis) - signed(received.as_millis());
        self.0.set(Some(self.0.get().map_or(offset, |known| known.max(offset))));
    }

    /// Returns the store's time in milliseconds, or `None` before its first response.
    #[must_use]
    pub fn millis(&self, now: Instant) -> Option<i64> {
        self.0.get().map(|offset| signed(now.as_millis()) + offset)
    }
}

/// Converts milliseconds to a signed number. Real times are far below its maximum.
fn signed(millis: u64) -> i64 {
    i64::try_from(millis).unwrap_or(i64::MAX)
}

/// Returns this host's Unix time in milliseconds, which can jump.
pub(crate) fn unix_millis() -> i64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| i64::try_from(since.as_millis()).unwrap_or(i64::MAX))
}
