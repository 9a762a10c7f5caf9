use std::time::Duration;

const MAX_LATENCY_FACTOR: u32 = 2;
const GOOD_SAMPLES: u32 = 4;

/// Whether a target is still warming up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Each call needs a credit.
    Cold {
        /// Largest sum of credits in force, in concurrent calls.
        limit: u32,
    },
    /// The target takes calls up to its capacity.
    Warm,
}

/// Raises a cold target's limit while its latency is at most `MAX_LATENCY_FACTOR`
/// times that of a warm target.
#[derive(Debug, Clone, Copy)]
pub struct Ramp {
    cold_capacity: u32,
    capacity: u32,
    limit: u32,
    good_samples: u32,
    warm_latency: Duration,
}

impl Ramp {
    /// Creates a ramp that starts at `cold_capacity`. `warm_latency` is the usual
    /// latency of the service's warm targets.
    #[must_use]
    pub fn new(cold_capacity: u32, capacity: u32, warm_latency: Duration) -> Self {
        Self { cold_capacity, capacity, limit: cold_capacity, good_samples: 0, warm_latency }
    }

    /// Records the latency of a call, or `None` for a failed call, and returns
    /// the new phase. The limit doubles after several good samples in a row and
    /// falls back to the cold capacity after a bad one.
    pub fn observe(&mut self, latency: Option<Duration>) -> Phase {
        let is_good =
            latency.is_some_and(|latency| latency <= self.warm_latency * MAX_LATENCY_FACTOR);
        self.good_samples = if is_good { self.good_samples + 1 } else { 0 };
        match self.good_samples {
            0 => self.limit = self.cold_capacity,
            GOOD_SAMPLES => {
                self.good_samples = 0;
                self.limit = self.limit.max(1).saturating_mul(2);
            }
            _ => {}
        }
        self.phase()
    }

    /// Returns the current phase.
    #[must_use]
    pub fn phase(&self) -> Phase {
        if self.limit >= self.capacity { Phase::Warm } else { Phase::Cold { limit: self.limit } }
    }
}
