use std::{rc::Rc, time::Duration};

use futures_channel::mpsc;
use tamarackdock_config::deployment::Target;
use tamarackdock_wire::flag::Flag;

use super::{Message, message::Done};

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The target gave a whole answer.
    Answered {
        /// Time to the first byte, if it was measured.
        first_byte: Option<Duration>,
    },
    /// The target did not answer as its interface says.
    Failed,
    /// The target did not answer in time.
    Silent,
    /// No connection could be made.
    Unreachable,
    /// The connection broke, as in a crash.
    Broken,
    /// The attempt was given up before its end.
    Cancelled,
}

/// The right to run one attempt on a target. Dropping it frees the place.
pub(crate) struct Permit {
    target: Rc<Target>,
    done: Done,
    router: mpsc::UnboundedSender<Message>,
    withdrawn: Flag,
}

impl Permit {
    pub(super) fn new(
        target: Rc<Target>,
        done: Done,
        router: mpsc::UnboundedSender<Message>,
        withdrawn: Flag,
    ) -> Self {
        Self { target, done, router, withdrawn }
    }

    pub(crate) fn target(&self) -> &Rc<Target> {
        &self.target
    }

    /// Raised when the attempt must stop, since the credit under which it runs
    /// on a cold target has expired.
    pub(crate) fn withdrawn(&self) -> Flag {
        self.withdrawn.clone()
    }

    /// Ends the attempt.
    pub(crate) fn finish(mut self, outcome: Outcome) {
        self.done.outcome = outcome;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let _ = self.router.unbounded_send(Message::Done(self.done));
    }
}
