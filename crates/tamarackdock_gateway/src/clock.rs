//! Clocks for comparing times between hosts: the store's clock and Unix time.

use std::{cell::Cell, time::Duration};

use tamarackdock_types::clock::Instant;

/// Time after which the offsets of a range count as those of the range before.
const RANGE_TIME: Duration = Duration::from_mins(5);

/// Smallest and largest difference between the store's clock and this host's, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Range {
    began: Instant,
    smallest: i64,
    largest: i64,
}

impl Range {
    fn of(offset: i64, began: Instant) -> Self {
        Self { began, smallest: offset, largest: offset }
    }

    fn join(self, other: Self) -> Self {
        let smallest = self.smallest.min(other.smallest);
        Self { smallest, largest: self.largest.max(other.largest), ..self }
    }
}

/// Estimate of the store's monotonic clock, from the times in its responses. Only recent responses
/// count, so that a wrong time or a host clock of another rate does not act for good.
#[derive(Debug, Default)]
pub struct StoreClock {
    current: Cell<Option<Range>>,
    previous: Cell<Option<Range>>,
}

impl StoreClock {
    /// Records the store's time in a response that arrived at `received`.
    pub fn observe(&self, store_millis: u64, received: Instant) {
        let offset = signed(store_millis).saturating_sub(signed(received.as_millis()));
        let observed = Range::of(offset, received);
        let current = match self.current.get() {
            Some(known) if received.since(known.began) < RANGE_TIME => known.join(observed),
            known => {
                let is_recent = |known: &Range| received.since(known.began) < RANGE_TIME * 2;
                self.previous.set(known.filter(is_recent));
                observed
            }
        };
        self.current.set(Some(current));
    }

    fn range(&self) -> Option<Range> {
        let current = self.current.get()?;
        Some(self.previous.get().map_or(current, |previous| current.join(previous)))
    }

    /// Returns the store's time in milliseconds, or `None` before its first response. The network
    /// only delays responses, so the largest offset is the best estimate.
    #[must_use]
    pub fn millis(&self, now: Instant) -> Option<i64> {
        self.range().map(|range| signed(now.as_millis()).saturating_add(range.largest))
    }

    /// Returns the earliest time that the store's clock can show now by any of the recent
    /// responses. What can't be undone is decided by this time, so that a single response with a
    /// time that is too large does not make jobs old.
    #[must_use]
    pub fn earliest(&self, now: Instant) -> Option<i64> {
        self.range().map(|range| signed(now.as_millis()).saturating_add(range.smallest))
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
