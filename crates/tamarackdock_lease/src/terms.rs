use std::time::Duration;

use derive_more::{Display, Error};

/// Time spans of a lease, the same for all candidates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Terms {
    /// Time from the start of a write until the row can be taken, less the margin.
    pub duration: Duration,
    /// Upper bound of the difference that two clocks gather over the longest
    /// span of the terms, plus the time between a check and the send after it.
    pub margin: Duration,
    /// Time between reads of a candidate, and between tries after a failure.
    pub poll: Duration,
    /// Time from the start of recording an order until it must be sent.
    pub send_window: Duration,
    /// Upper bound of the time that a sent order needs to arrive.
    pub delivery: Duration,
}

/// The reason why terms can't work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum TermsError {
    /// The lease would end before it can be renewed.
    #[display("the duration must be more than three times the margin plus three polls")]
    DurationTooShort,
    /// The holder would write without pause.
    #[display("the poll interval must not be zero")]
    NoPoll,
}

impl Terms {
    /// Checks the terms.
    ///
    /// # Errors
    ///
    /// Returns [`TermsError`] if a holder could not keep a lease on these terms.
    pub fn check(self) -> Result<Self, TermsError> {
        match self {
            _ if self.poll.is_zero() => Err(TermsError::NoPoll),
            _ if self.duration <= (self.margin + self.poll) * 3 => {
                Err(TermsError::DurationTooShort)
            }
            _ => Ok(self),
        }
    }

    /// Span for which a holder trusts a write, from before it was sent.
    pub(crate) fn validity(&self) -> Duration {
        self.duration.saturating_sub(self.margin)
    }

    /// Span after an epoch's end in which its recorded orders can still arrive.
    pub(crate) fn quiet(&self) -> Duration {
        self.send_window + self.delivery
    }

    /// Span between renewals, short enough for two tries before the end.
    pub(crate) fn renewal(&self) -> Duration {
        self.validity() / 3
    }

    /// Span after failed reads in which candidates leave the row to its holder,
    /// which could not renew it either. Another holder would have to be quiet
    /// first. The holder tries again after each poll; the second poll covers a try
    /// that failed just before the store was back.
    pub(crate) fn return_grace(&self) -> Duration {
        self.poll * 2
    }
}
