use std::time::Duration;

use derive_more::{Display, Error};

/// Durations that govern a lease. All candidates must use the same values.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Time after which a candidate may take an unchanged row, without the margin that it adds.
    pub duration: Duration,
    /// Upper bound of the drift between two clocks over the longest span here, plus the
    /// time between a check and the send that follows it.
    pub margin: Duration,
    /// Time between reads by a candidate, and between attempts after a failure.
    pub poll: Duration,
    /// Time from the start of recording an order until the last moment at which it may be sent.
    pub send_window: Duration,
    /// Upper bound of the time that an order takes to arrive.
    pub delivery: Duration,
}

/// The reason why durations can't work together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum TimingError {
    /// The lease would end before it can be renewed.
    #[display("the duration must be more than three times the margin plus three polls")]
    DurationTooShort,
    /// A holder or candidate would repeat its requests without pause.
    #[display("the poll interval must not be zero")]
    NoPoll,
}

impl Timing {
    /// Checks that a holder can keep its lease with these durations.
    ///
    /// # Errors
    ///
    /// Returns [`TimingError`] if the lease would expire before it can be renewed, or if
    /// `poll` is zero.
    pub fn check(self) -> Result<Self, TimingError> {
        match self {
            _ if self.poll.is_zero() => Err(TimingError::NoPoll),
            _ if self.duration <= (self.margin + self.poll) * 3 => {
                Err(TimingError::DurationTooShort)
            }
            _ => Ok(self),
        }
    }

    /// Returns how long a write keeps the lease valid for its holder, counted from before it
    /// was sent.
    pub(crate) fn validity(&self) -> Duration {
        self.duration.saturating_sub(self.margin)
    }

    /// Returns how long after an epoch's end its recorded orders can still arrive.
    pub(crate) fn quiet(&self) -> Duration {
        self.send_window + self.delivery
    }

    /// Returns the time between renewals, which leaves time for two attempts before the lease
    /// expires.
    pub(crate) fn renewal(&self) -> Duration {
        self.validity() / 3
    }

    /// Returns how long candidates leave the row to its holder after failed reads, during
    /// which the holder could not renew it either. Another holder would first have to wait
    /// for the quiet period. The holder retries after each poll; the second poll covers an
    /// attempt that failed just before the store recovered.
    pub(crate) fn recovery_grace(&self) -> Duration {
        self.poll * 2
    }
}
