use std::{rc::Rc, time::Duration};

use futures_channel::mpsc;
use tamarackdock_config::deployment::Target;
use tamarackdock_wire::flag::Flag;

use super::{Message, message::AttemptEnd};

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The target sent a complete response.
    Answered {
        /// Time to the first byte, `None` if it was not measured.
        first_byte: Option<Duration>,
    },
    /// The target refused the call or sent an invalid response.
    Failed,
    /// No data arrived from the target in time.
    TimedOut,
    /// No connection could be made.
    Unreachable,
    /// The connection broke, possibly because the target crashed.
    ConnectionLost,
    /// The attempt was cancelled, its credit expired, its caller disconnected, or its
    /// connection was closed or had unread input before the request was sent.
    Cancelled,
}

/// Allows one attempt on a target. Dropping it ends the attempt and frees the target's capacity.
pub(crate) struct Permit {
    target: Rc<Target>,
    end: AttemptEnd,
    router: mpsc::UnboundedSender<Message>,
    credit_expired: Flag,
}

impl Permit {
    pub(super) fn new(
        target: Rc<Target>,
        end: AttemptEnd,
        router: mpsc::UnboundedSender<Message>,
        credit_expired: Flag,
    ) -> Self {
        Self { target, end, router, credit_expired }
    }

    /// Returns the chosen target.
    pub(crate) fn target(&self) -> &Rc<Target> {
        &self.target
    }

    /// Returns the flag that is set when the attempt must stop, since its
    /// credit for a cold target has expired.
    pub(crate) fn credit_expired(&self) -> Flag {
        self.credit_expired.clone()
    }

    /// Ends the attempt with an outcome. Without this call it counts as cancelled.
    pub(crate) fn finish(mut self, outcome: Outcome) {
        self.end.outcome = outcome;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let _ = self.router.unbounded_send(Message::AttemptEnded(self.end));
    }
}
