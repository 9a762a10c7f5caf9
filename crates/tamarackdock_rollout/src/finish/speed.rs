/// Fraction by which each further run on a target slows down its runs: 46.5 ms per event for
/// one run and 48.5 ms for eight.
const SLOWDOWN_PER_RUN: f64 = 0.006;
/// Time after which an event counts half. A host that is out of processor time for 0.2 s sees
/// late events on all of its targets, while a target that turned slow stays so for seconds.
const HALF_LIFE_MS: f64 = 500.0;
/// Least number of measured events for a speed that a move relies on. The first intervals of a
/// run contain the delay of its first event and of a new connection.
pub const MIN_SAMPLES: u32 = 6;
/// Milliseconds per event that are assumed while no target was measured.
const DEFAULT_EVENT_MS: f64 = 35.0;

/// The measured speed of a target.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Speed {
    total_ms: f64,
    weight: f64,
    samples: u32,
}

impl Speed {
    /// Records the time between two events of a run, while `running` runs were in progress on
    /// the target.
    pub fn record(&mut self, interval_ms: f64, running: u32) {
        // Runs in progress at the same time report the same interval of time.
        let elapsed_ms = interval_ms / f64::from(running.max(1));
        let kept = 0.5_f64.powf(elapsed_ms / HALF_LIFE_MS);
        self.total_ms = self.total_ms * kept + interval_ms / slowdown(running);
        self.weight = self.weight * kept + 1.0;
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns the milliseconds per event of a run that is alone on the target.
    #[must_use]
    pub fn event_ms(&self) -> Option<f64> {
        (self.samples > 0).then(|| self.total_ms / self.weight)
    }

    /// Returns the number of measured events.
    #[must_use]
    pub fn samples(&self) -> u32 {
        self.samples
    }
}

/// Returns the factor by which each run is slower when `runs` share a target.
pub(super) fn slowdown(runs: u32) -> f64 {
    1.0 + SLOWDOWN_PER_RUN * f64::from(runs.saturating_sub(1))
}

/// Returns the milliseconds per event that are assumed for a target that was not measured: the
/// mean of those that were.
#[must_use]
pub fn usual_ms(measured: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = measured.fold((0.0, 0_u32), |(sum, count), ms| (sum + ms, count + 1));
    if count == 0 { DEFAULT_EVENT_MS } else { sum / f64::from(count) }
}
