use std::time::Duration;

use tamarackdock_types::clock::Instant;

/// Time for which the fastest answer counts at least; it counts for twice that at most. Longer
/// than a burst, in which all answers contain the wait in a queue.
const PERIOD: Duration = Duration::from_secs(5);

/// Usual time of a service's answers: that of the fastest recent one. Other answers also contain
/// the wait in the target's queue, and too long a service time would refuse calls that can be
/// served.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServiceTime {
    began: Instant,
    /// Fastest answer since then.
    current: Duration,
    /// Fastest answer of the period before.
    previous: Duration,
}

impl ServiceTime {
    pub(super) fn new(took: Duration, now: Instant) -> Self {
        Self { began: now, current: took, previous: took }
    }

    /// Adds the time that an answer took.
    pub(super) fn add(&mut self, took: Duration, now: Instant) {
        if now.since(self.began) >= PERIOD {
            *self = Self { began: now, current: took, previous: self.current };
        }
        self.current = self.current.min(took);
    }

    /// Returns the usual time.
    pub(super) fn usual(&self) -> Duration {
        self.current.min(self.previous)
    }
}
