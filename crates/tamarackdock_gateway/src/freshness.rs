//! How long a node may go on with the keys that it knows. See
//! `docs/platform-system.md`, section "Keys".

use std::time::Duration;

use tamarackdock_types::clock::Instant;

/// Part of the bound on withdrawn keys that is kept for the way to the target
/// and the drift between clocks.
const MARGIN: Duration = Duration::from_millis(500);

/// Share of the bound after which a node asks the balancer for no new connections.
const READY_SHARE: f64 = 0.55;

/// Proof that no newer configuration exists, as of the time at which the
/// question was sent.
#[derive(Debug, Clone, Copy)]
pub struct Freshness {
    bound: Option<Duration>,
    proven: Option<Instant>,
}

impl Freshness {
    /// Makes a proof that is absent. Without a bound, an old proof is as good as a new one.
    #[must_use]
    pub fn new(bound: Option<Duration>) -> Self {
        Self { bound, proven: None }
    }

    /// Records an answer to a question that was sent at `asked`.
    pub fn prove(&mut self, asked: Instant) {
        self.proven = self.proven.max(Some(asked));
    }

    /// Returns the age of the proof, or `None` before the first.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.proven.map(|proven| now.since(proven))
    }

    /// Returns whether calls with keys may be sent to targets.
    #[must_use]
    pub fn allows_keys(&self, now: Instant) -> bool {
        match (self.age(now), self.bound) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(age), Some(bound)) => age + MARGIN < bound,
        }
    }

    /// Returns whether the node should get new connections.
    #[must_use]
    pub fn is_ready(&self, now: Instant) -> bool {
        match (self.age(now), self.bound) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(age), Some(bound)) => age < bound.mul_f64(READY_SHARE),
        }
    }
}
