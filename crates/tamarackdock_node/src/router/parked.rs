use futures_channel::oneshot;
use tamarackdock_types::refusal::Refusal;

use super::{Permit, Query};

/// An attempt that waits for a target.
pub(super) struct Parked {
    pub(super) query: Query,
    pub(super) reply: oneshot::Sender<Result<Permit, Refusal>>,
}
