use std::time::Duration;

use tamarackdock_platform::table::Condition;
use tamarackdock_types::{clock::Instant, fence::Epoch};

use crate::{Deadline, Timing};

/// A lease that this process holds.
///
/// This type is not `Clone`, since a copy would outlive a release.
#[derive(Debug)]
pub struct HeldLease {
    pub(crate) timing: Timing,
    pub(crate) epoch: Epoch,
    pub(crate) revision: u64,
    pub(crate) fence: Condition,
    /// Time before the last successful write was first sent.
    pub(crate) valid_since: Instant,
    /// Time until which orders of earlier epochs can arrive.
    pub(crate) quiet_until: Instant,
    /// Time until which orders of this epoch can arrive.
    pub(crate) last_arrival: Instant,
}

impl HeldLease {
    /// Returns the epoch while the lease is valid.
    ///
    /// Call this directly before each send to a receiver that checks epochs.
    #[must_use]
    pub fn permit(&self, now: Instant) -> Option<Epoch> {
        (now < self.valid_until()).then_some(self.epoch)
    }

    /// Returns the epoch while the lease is valid, the recorded order's deadline
    /// has not passed, and no order of an earlier epoch can still arrive.
    ///
    /// Call this directly before each send to a receiver that ignores epochs.
    #[must_use]
    pub fn permit_recorded(&self, now: Instant, deadline: Deadline) -> Option<Epoch> {
        let in_time = now < deadline.until && deadline.epoch == self.epoch;
        self.permit(now).filter(|_| in_time && self.old_orders_expired(now))
    }

    /// Returns the epoch, whether or not the lease is still valid.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns whether the quiet period is over: no order of an earlier epoch can still arrive,
    /// so the receiver's state can be read.
    #[must_use]
    pub fn old_orders_expired(&self, now: Instant) -> bool {
        now >= self.quiet_until
    }

    /// Returns the time until which [`Self::permit`] returns the epoch.
    #[must_use]
    pub fn valid_until(&self) -> Instant {
        self.valid_since + self.timing.validity()
    }

    /// Returns the commit condition that holds until another process takes the
    /// lease. Renewals do not change it.
    #[must_use]
    pub fn fence(&self) -> Condition {
        self.fence.clone()
    }

    /// Returns the send deadline of an order that is about to be recorded under
    /// [`Self::fence`], or `None` if the lease is no longer valid.
    pub fn record(&mut self, now: Instant) -> Option<Deadline> {
        let epoch = self.permit(now)?;
        let until = now + self.timing.send_window;
        self.last_arrival = until + self.timing.delivery;
        Some(Deadline { epoch, until })
    }

    /// Returns how long from `now` orders of this or earlier epochs can still arrive.
    pub(crate) fn remaining_quiet(&self, now: Instant) -> Duration {
        self.quiet_until.max(self.last_arrival).since(now)
    }
}
