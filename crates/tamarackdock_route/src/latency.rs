//! Moving average of a target's latency, with detection of sudden increases.

use std::time::Duration;

const SAMPLE_WEIGHT: f64 = 0.1;
const MIN_SAMPLES: u32 = 8;
const STEP_FACTOR: f64 = 3.0;
/// On fast targets, smaller steps are noise of the clock and the scheduler.
const MIN_STEP_MS: f64 = 50.0;
/// Number of slow samples in a row that are a step; single ones are long prompts.
const STEP_SAMPLES: u32 = 4;

/// Time to the first byte of one target's responses.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Latency {
    mean_ms: f64,
    samples: u32,
    slow_in_a_row: u32,
}

impl Latency {
    /// Adds a sample and returns whether the latency has suddenly increased.
    pub fn observe(&mut self, sample: Duration) -> bool {
        let millis = sample.as_secs_f64() * 1000.0;
        let has_stepped =
            millis > STEP_FACTOR * self.mean_ms && millis > self.mean_ms + MIN_STEP_MS;
        let is_slow = self.samples >= MIN_SAMPLES && has_stepped;
        if is_slow {
            // Slow samples stay out of the mean, which would hide a step otherwise.
            self.slow_in_a_row += 1;
            return self.slow_in_a_row >= STEP_SAMPLES;
        }
        self.slow_in_a_row = 0;
        let weight = if self.samples == 0 { 1.0 } else { SAMPLE_WEIGHT };
        self.mean_ms += weight * (millis - self.mean_ms);
        self.samples = self.samples.saturating_add(1);
        false
    }

    /// Returns the moving average, or `None` before the first sample.
    #[must_use]
    pub fn mean(&self) -> Option<Duration> {
        (self.samples > 0).then(|| Duration::from_secs_f64(self.mean_ms / 1000.0))
    }
}
