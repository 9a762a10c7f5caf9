use futures_channel::oneshot;
use tamarackdock_platform::table::Condition;
use tamarackdock_types::fence::Epoch;
use tamarackdock_usage::{Batch, Input, NodeRun};

use crate::lease::Event;

/// The state machine that made a request to the platform and gets the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Owner {
    Counter,
    Copies,
    Reporter(Epoch),
}

/// A message to the usage task.
pub(crate) enum Message {
    /// The platform's response to a request of a state machine.
    Response(Owner, Input),
    /// Keep copies of a peer's unflushed batches.
    KeepCopies { origin: NodeRun, batches: Vec<Batch> },
    /// The lease was acquired or lost.
    Lease(Event),
    /// The reporter of an epoch starts with the window `first`.
    FirstWindow { epoch: Epoch, fence: Condition, first: u64 },
    /// Flush all counts, then reply with the last window that got counts.
    Flush { reply: oneshot::Sender<u64> },
    /// Release the lease and reply when that is complete.
    Release { reply: oneshot::Sender<()> },
    /// Reply with the state as JSON.
    Dump { reply: oneshot::Sender<serde_json::Value> },
}
