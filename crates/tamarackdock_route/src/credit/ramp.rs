use std::time::Duration;

const FACTOR: u32 = 2;
const GOOD_SAMPLES: u32 = 4;

/// How far a target has come from cold to warm.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Calls need credits; so many are in force in sum.
    Cold {
        /// Sum of credits, in calls at once.
        limit: u32,
    },
    /// The target takes its whole capacity.
    Warm,
}

/// Raises a cold target's limit while its latency is that of a warm target.
#[derive(Debug, Clone, Copy)]
pub struct Ramp {
    cold_capacity: u32,
    capacity: u32,
    limit: u32,
    good: u32,
    warm_latency: Duration,
}

impl Ramp {
    /// Starts a ramp. `warm_latency` is the usual latency of the service's warm targets.
    #[must_use]
    pub fn new(cold_capacity: u32, capacity: u32, warm_latency: Duration) -> Self {
        Self { cold_capacity, capacity, limit: cold_capacity, good: 0, warm_latency }
    }

    /// Takes the latency of a call, or `None` for a failed call. The limit
    /// doubles after several good samples in a row and falls back to the cold
    /// capacity after a bad one.
    pub fn observe(&mut self, latency: Option<Duration>) -> Phase {
        let is_good = latency.is_some_and(|latency| latency <= self.warm_latency * FACTOR);
        self.good = if is_good { self.good + 1 } else { 0 };
        match self.good {
            0 => self.limit = self.cold_capacity,
            GOOD_SAMPLES => {
                self.good = 0;
                self.limit = self.limit.max(1).saturating_mul(2);
            }
            _ => {}
        }
        self.phase()
    }

    /// Returns the phase.
    #[must_use]
    pub fn phase(&self) -> Phase {
        if self.limit >= self.capacity { Phase::Warm } else { Phase::Cold { limit: self.limit } }
    }
}
