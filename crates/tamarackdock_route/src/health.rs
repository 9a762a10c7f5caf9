//! Circuit breaker for targets that can't be connected to.

use std::time::Duration;

use tamarackdock_types::clock::Instant;

#[cfg(test)]
mod tests;

const FAILURE_THRESHOLD: u32 = 3;
const FIRST_PAUSE: Duration = Duration::from_secs(1);
const MAX_PAUSE: Duration = Duration::from_secs(30);

/// Whether connections to one target succeed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Health {
    consecutive_failures: u32,
    pause: Option<Pause>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Pause {
    until: Instant,
    length: Duration,
    is_probing: bool,
}

impl Health {
    /// Returns whether the target may be chosen for any call.
    #[must_use]
    pub fn is_up(&self) -> bool {
        self.pause.is_none()
    }

    /// Returns whether a call may be sent now. After the pause one call at a
    /// time is allowed as a probe, whose result must be reported.
    pub fn try_call(&mut self, now: Instant) -> bool {
        match &mut self.pause {
            None => true,
            Some(pause) if pause.is_probing || now < pause.until => false,
            Some(pause) => {
                pause.is_probing = true;
                true
            }
        }
    }

    /// Records a call that reached the target, which ends a pause.
    pub fn succeed(&mut self) {
        *self = Self::default();
    }

    /// Records a failure to connect. Several in a row pause the target, and each
    /// failed probe doubles the pause up to a maximum.
    pub fn fail(&mut self, now: Instant) {
        self.consecutive_failures += 1;
        let length = match self.pause {
            // Late failures of calls that began before the pause don't extend it.
            Some(pause) if !pause.is_probing => return,
            Some(pause) => MAX_PAUSE.min(pause.length * 2),
            None if self.consecutive_failures < FAILURE_THRESHOLD => return,
            None => FIRST_PAUSE,
        };
        self.pause = Some(Pause { until: now + length, length, is_probing: false });
    }

    /// Ends a probe that was cancelled before it had a result.
    pub fn cancel_probe(&mut self) {
        if let Some(pause) = &mut self.pause {
            pause.is_probing = false;
        }
    }
}
