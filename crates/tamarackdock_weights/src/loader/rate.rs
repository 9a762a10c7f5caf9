use std::time::Duration;

use tamarackdock_types::clock::Instant;

/// Loads that are due within this time may start together. Ticks come a tenth of
/// a second apart.
const BURST: Duration = Duration::from_millis(100);

/// Token bucket for the weight store's rate, with one token per load.
#[derive(Debug)]
pub(super) struct TokenBucket {
    per_second: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    pub(super) fn new(now: Instant) -> Self {
        Self { per_second: 0.0, tokens: 0.0, refilled_at: now }
    }

    /// Returns the size of the bucket, which has room for at least one load.
    fn burst(&self) -> f64 {
        (self.per_second * BURST.as_secs_f64()).max(1.0)
    }

    pub(super) fn set(&mut self, now: Instant, per_second: f64) {
        self.refill(now);
        self.per_second = if per_second.is_finite() { per_second.max(0.0) } else { 0.0 };
        self.tokens = self.tokens.min(self.burst());
    }

    fn refill(&mut self, now: Instant) {
        let seconds = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + seconds * self.per_second).min(self.burst());
    }

    /// Returns how many of `wanted` loads the rate allows now.
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
