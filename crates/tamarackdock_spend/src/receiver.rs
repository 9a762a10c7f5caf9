use tamarackdock_lease::{Deadline, HeldLease};
use tamarackdock_types::{clock::Instant, fence::Epoch};

/// Whether a receiver of orders checks their epoch, as configured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Receiver {
    /// Refuses orders of an epoch older than one it has seen.
    ChecksEpoch,
    /// Carries out every order.
    IgnoresEpoch,
}

impl Receiver {
    /// Returns the epoch if a recorded order may be sent. Must be called directly
    /// before each send.
    #[must_use]
    pub fn permit(self, held: &HeldLease, now: Instant, deadline: Deadline) -> Option<Epoch> {
        match self {
            Self::ChecksEpoch => held.permit(now).filter(|epoch| *epoch == deadline.epoch),
            Self::IgnoresEpoch => held.permit_recorded(now, deadline),
        }
    }

    /// Returns whether the receiver's state, if it is read now, can no longer be
    /// changed by an order of an earlier holder.
    pub(crate) fn is_settled(self, held: &HeldLease, now: Instant) -> bool {
        self == Self::ChecksEpoch || held.old_orders_expired(now)
    }
}
