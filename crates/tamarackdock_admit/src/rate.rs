use std::time::Duration;

use tamarackdock_types::clock::Instant;

/// Time over which old measurements fade.
const FADE: Duration = Duration::from_secs(5);
/// Share of the longest gap that is remembered at each later gap.
const GAP_KEPT: f64 = 0.9;

/// Tokens that finish per second while calls run.
#[derive(Debug, Clone)]
pub(crate) struct Rate {
    tokens: f64,
    seconds: f64,
    /// Busy time since the last calls finished, in seconds.
    pending: f64,
    /// Longest recent time between finished calls, in seconds.
    gap: f64,
    is_measured: bool,
    last: Option<Instant>,
}

impl Rate {
    /// Starts from an expected rate, which the first measurement replaces.
    /// Kept longer it makes hints too short.
    pub(crate) fn new(tokens_per_second: f64) -> Self {
        Self {
            tokens: tokens_per_second,
            seconds: 1.0,
            is_measured: false,
            pending: 0.0,
            gap: 0.0,
            last: None,
        }
    }

    /// Adds the time until `now`, in which calls were running or not.
    pub(crate) fn pass(&mut self, is_busy: bool, now: Instant) {
        let passed = self.last.replace(now).map_or(Duration::ZERO, |last| now.since(last));
        if is_busy {
            self.pending += passed.as_secs_f64();
        }
    }

    /// Adds tokens that have finished.
    pub(crate) fn finish(&mut self, tokens: u64) {
        if self.pending > 0.0 && !self.is_measured {
            self.is_measured = true;
            self.tokens = 0.0;
            self.seconds = 0.0;
        }
        if self.pending > 0.0 {
            let kept = (-self.pending / FADE.as_secs_f64()).exp();
            self.tokens *= kept;
            self.seconds = self.seconds * kept + self.pending;
            self.gap = self.pending.max(self.gap * GAP_KEPT);
            self.pending = 0.0;
        }
        self.tokens += to_f64(tokens);
    }

    /// Returns the time in which so many tokens finish. Calls finish in
    /// bursts, so that a time without any counts only beyond the usual gap.
    pub(crate) fn time_for(&self, tokens: u64) -> Duration {
        let stalled = (self.pending - self.gap).max(0.0);
        let seconds =
            to_f64(tokens) * (self.seconds + stalled) / self.tokens.max(f64::MIN_POSITIVE);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}

fn to_f64(tokens: u64) -> f64 {
    u32::try_from(tokens).map_or(f64::from(u32::MAX), f64::from)
}
