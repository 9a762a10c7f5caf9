use std::time::Duration;

use tamarackdock_types::clock::Instant;

/// A count that rises at once and falls with a delay, so that short dips of the
/// demand cause no orders.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Hysteresis {
    current: u32,
    /// Start of the present run of lower counts, and the highest of them.
    lower: Option<(Instant, u32)>,
}

impl Hysteresis {
    /// Adds the count at the time `now` and returns the count to act on.
    pub(crate) fn apply(&mut self, now: Instant, count: u32, hold: Duration) -> u32 {
        if count >= self.current {
            self.current = count;
            self.lower = None;
            return count;
        }
        let (since, highest) = self.lower.unwrap_or((now, count));
        let highest = highest.max(count);
        self.lower = Some((since, highest));
        if now.since(since) >= hold {
            self.current = highest;
            self.lower = None;
        }
        self.current
    }
}
