use std::time::Duration;

use tamarackdock_types::clock::Instant;

/// Busy time over which old measurements decay by a factor of e.
const DECAY_TIME: Duration = Duration::from_secs(5);
/// Factor by which the longest gap between finished calls decays at each further gap.
const GAP_DECAY: f64 = 0.9;

/// Rate at which running calls finish, in tokens per second.
#[derive(Debug, Clone)]
pub(crate) struct DrainRate {
    tokens: f64,
    seconds: f64,
    /// Busy time since the last calls finished, in seconds.
    busy_seconds: f64,
    /// Longest recent time between finished calls, in seconds.
    longest_gap: f64,
    is_measured: bool,
    last: Option<Instant>,
}

impl DrainRate {
    /// Creates a rate with an expected value, which the first measurement
    /// replaces. If it were kept longer, the `retry_after` of refusals would be
    /// too short.
    pub(crate) fn new(tokens_per_second: f64) -> Self {
        Self {
            tokens: tokens_per_second,
            seconds: 1.0,
            is_measured: false,
            busy_seconds: 0.0,
            longest_gap: 0.0,
            last: None,
        }
    }

    /// Adds the time until `now`, which counts as busy if calls were running.
    pub(crate) fn advance(&mut self, is_busy: bool, now: Instant) {
        let elapsed = self.last.replace(now).map_or(Duration::ZERO, |last| now.since(last));
        if is_busy {
            self.busy_seconds += elapsed.as_secs_f64();
        }
    }

    /// Adds the tokens of a call that has finished.
    pub(crate) fn finish(&mut self, tokens: u64) {
        if self.busy_seconds > 0.0 && !self.is_measured {
            self.is_measured = true;
            self.tokens = 0.0;
            self.seconds = 0.0;
        }
        if self.busy_seconds > 0.0 {
            let decay = (-self.busy_seconds / DECAY_TIME.as_secs_f64()).exp();
            self.tokens *= decay;
            self.seconds = self.seconds * decay + self.busy_seconds;
            self.longest_gap = self.busy_seconds.max(self.longest_gap * GAP_DECAY);
            self.busy_seconds = 0.0;
        }
        self.tokens += to_f64(tokens);
    }

    /// Returns the time in which `tokens` tokens finish. Calls finish in bursts,
    /// so the busy time since the last one counts only where it exceeds the
    /// longest recent gap.
    pub(crate) fn drain_time(&self, tokens: u64) -> Duration {
        let stalled = (self.busy_seconds - self.longest_gap).max(0.0);
        let seconds =
            to_f64(tokens) * (self.seconds + stalled) / self.tokens.max(f64::MIN_POSITIVE);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}

fn to_f64(tokens: u64) -> f64 {
    u32::try_from(tokens).map_or(f64::from(u32::MAX), f64::from)
}
