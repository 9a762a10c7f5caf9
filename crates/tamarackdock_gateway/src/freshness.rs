//! How long a node may use the keys that it knows without hearing from the store.
//! See `docs/platform-system.md`, section "Keys".

use std::time::Duration;

use tamarackdock_types::clock::Instant;

/// Part of the bound on withdrawn keys that is reserved for the network delay to the
/// target and the drift between clocks.
const MARGIN: Duration = Duration::from_millis(500);

/// Share of the bound after which health checks fail, so that the balancer sends no
/// new connections.
const READY_SHARE: f64 = 0.55;

/// Proof that no newer configuration exists, as of the time at which the poll of the
/// store was sent.
#[derive(Debug, Clone, Copy)]
pub struct Freshness {
    /// Time after which a withdrawn key must not work, if it is enforced strictly.
    bound: Option<Duration>,
    /// Sending time of the newest poll that was answered.
    proven: Option<Instant>,
}

impl Freshness {
    /// Creates the state before the first proof. Without a bound, proofs never expire.
    #[must_use]
    pub fn new(bound: Option<Duration>) -> Self {
        Self { bound, proven: None }
    }

    /// Records a response to a poll that was sent at `sent`.
    pub fn prove(&mut self, sent: Instant) {
        self.proven = self.proven.max(Some(sent));
    }

    /// Returns the age of the newest proof, or `None` before the first one.
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

    /// Returns whether the balancer should send new connections to this node.
    #[must_use]
    pub fn is_ready(&self, now: Instant) -> bool {
        match (self.age(now), self.bound) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(age), Some(bound)) => age < bound.mul_f64(READY_SHARE),
        }
    }
}
