use futures_channel::oneshot;
use tamarackdock_platform::table::Condition;
use tamarackdock_types::fence::Epoch;
use tamarackdock_usage::{Batch, Input, Keys};

use crate::lease::Event;

/// The state machine that made a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Owner {
    Counter,
    Copies,
    Reporter(Epoch),
}

/// A message to the usage task.
pub(crate) enum Message {
    /// The platform's response to a state machine.
    Answer(Owner, Input),
    /// A peer's unflushed batches.
    Keep { origin: Keys, batches: Vec<Batch> },
    /// The lease was acquired or lost.
    Lease(Event),
    /// The first window to report under an epoch is known.
    Elected { epoch: Epoch, fence: Condition, first: u64 },
    /// Flush everything, then reply with the last window that got counts.
    Flush { reply: oneshot::Sender<u64> },
    /// Give the lease up and reply once that has ended.
    Release { reply: oneshot::Sender<()> },
    /// Describe the state.
    Dump { reply: oneshot::Sender<serde_json::Value> },
}
