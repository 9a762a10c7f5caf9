//! Targets that can't be connected to.

use std::time::Duration;

use tamarackdock_types::clock::Instant;

#[cfg(test)]
mod tests;

const FAILURES: u32 = 3;
const FIRST_PAUSE: Duration = Duration::from_secs(1);
const MAX_PAUSE: Duration = Duration::from_secs(30);

/// Health of one target's connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Health {
    failures: u32,
    out: Option<Out>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Out {
    until: Instant,
    pause: Duration,
    is_probed: bool,
}

impl Health {
    /// Returns whether the target takes part in the choice for any call.
    #[must_use]
    pub fn is_up(&self) -> bool {
        self.out.is_none()
    }

    /// Returns whether a call may be sent now. After the pause one call at a
    /// time is allowed as a probe, which must be followed by its result.
    pub fn try_call(&mut self, now: Instant) -> bool {
        match &mut self.out {
            None => true,
            Some(out) if out.is_probed || now < out.until => false,
            Some(out) => {
                out.is_probed = true;
                true
            }
        }
    }

    /// Takes a call that reached the target.
    pub fn succeed(&mut self) {
        *self = Self::default();
    }

    /// Takes a failure to connect.
    pub fn fail(&mut self, now: Instant) {
        self.failures += 1;
        let pause = match self.out {
            // Late failures of calls that began before the pause don't lengthen it.
            Some(out) if !out.is_probed => return,
            Some(out) => MAX_PAUSE.min(out.pause * 2),
            None if self.failures < FAILURES => return,
            None => FIRST_PAUSE,
        };
        self.out = Some(Out { until: now + pause, pause, is_probed: false });
    }

    /// Takes the end of a probe that was given up before it showed anything.
    pub fn abandon(&mut self) {
        if let Some(out) = &mut self.out {
            out.is_probed = false;
        }
    }
}
