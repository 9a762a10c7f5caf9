use tamarackdock_lease::{Deadline, Held};
use tamarackdock_types::{clock::Instant, fence::Epoch};

/// What a receiver of orders does with the epoch, as the configuration says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Receiver {
    /// Refuses orders of an epoch older than one it has seen.
    ChecksEpoch,
    /// Carries out every order.
    IgnoresEpoch,
}

impl Receiver {
    /// Returns the epoch if a recorded order may be sent. To be asked directly
    /// before each send.
    #[must_use]
    pub fn permit(self, held: &Held, now: Instant, deadline: Deadline) -> Option<Epoch> {
        match self {
            Self::ChecksEpoch => held.permit(now).filter(|epoch| *epoch == deadline.epoch),
            Self::IgnoresEpoch => held.permit_recorded(now, deadline),
        }
    }

    /// Whether the receiver's state, read now, will not be changed by an earlier
    /// holder's order.
    pub(crate) fn is_settled(self, held: &Held, now: Instant) -> bool {
        self == Self::ChecksEpoch || held.is_quiet(now)
    }
}
