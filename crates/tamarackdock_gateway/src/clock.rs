//! Clocks that hosts share.

use std::cell::Cell;

use tamarackdock_types::clock::Instant;

/// An estimate of the store's steady clock, from the times in its answers.
#[derive(Debug, Default)]
pub struct StoreClock(Cell<Option<i64>>);

impl StoreClock {
    /// Records the store's time in an answer that was received at `received`.
    /// Ways only delay answers, so that the largest difference is the best estimate.
    pub fn observe(&self, store_millis: u64, received: Instant) {
        let offset = signed(store_millis) - signed(received.as_millis());
        self.0.set(Some(self.0.get().map_or(offset, |known| known.max(offset))));
    }

    /// Returns the store's time in milliseconds, or `None` before its first answer.
    #[must_use]
    pub fn millis(&self, now: Instant) -> Option<i64> {
        self.0.get().map(|offset| signed(now.as_millis()) + offset)
    }
}

/// Returns milliseconds as a signed number. They are far from its bounds.
pub(crate) fn signed(millis: u64) -> i64 {
    i64::try_from(millis).unwrap_or(i64::MAX)
}

/// Returns this host's Unix time in milliseconds. It can jump.
pub(crate) fn wall_millis() -> i64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| i64::try_from(since.as_millis()).unwrap_or(i64::MAX))
}
