use futures_channel::oneshot;
use tamarackdock_types::refusal::Refusal;

use super::{Permit, Query};

/// An attempt that waits for a target.
pub(super) struct PendingAttempt {
    pub(super) query: Query,
    pub(super) reply: oneshot::Sender<Result<Permit, Refusal>>,
}
