use std::time::Duration;

use tamarackdock_types::clock::Instant;

/// A count that rises at once and falls late, so that short dips of the demand
/// cause no orders.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Hysteresis {
    current: u32,
    /// Since when lower counts were given, and the highest of them.
    lower: Option<(Instant, u32)>,
}

impl Hysteresis {
    /// Takes the count for `now` and returns the one to act on.
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
