use std::time::Duration;

use tamarackdock_types::clock::Instant;

/// Loads that may start together. A tenth of a second is the time between ticks.
const BURST: Duration = Duration::from_millis(100);

/// A token bucket for the weight store's rate.
#[derive(Debug)]
pub(super) struct Rate {
    per_second: f64,
    tokens: f64,
    at: Instant,
}

impl Rate {
    pub(super) fn new(now: Instant) -> Self {
        Self { per_second: 0.0, tokens: 0.0, at: now }
    }

    fn burst(&self) -> f64 {
        (self.per_second * BURST.as_secs_f64()).max(1.0)
    }

    pub(super) fn set(&mut self, now: Instant, per_second: f64) {
        self.refill(now);
        self.per_second = if per_second.is_finite() { per_second.max(0.0) } else { 0.0 };
        self.tokens = self.tokens.min(self.burst());
    }

    fn refill(&mut self, now: Instant) {
        let seconds = now.since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.tokens = (self.tokens + seconds * self.per_second).min(self.burst());
    }

    /// Returns how many of the `wanted` loads the rate allows now.
    pub(super) fn permits(&mut self, now: Instant, wanted: usize) -> usize {
        self.refill(now);
        (1..=wanted).take_while(|count| Self::as_tokens(*count) <= self.tokens).count()
    }

    pub(super) fn spend(&mut self, count: usize) {
        self.tokens = (self.tokens - Self::as_tokens(count)).max(0.0);
    }

    fn as_tokens(count: usize) -> f64 {
        f64::from(u32::try_from(count).unwrap_or(u32::MAX))
    }
}
