use std::rc::Rc;

use futures_channel::mpsc;
use tamarackdock_config::deployment::Target;

use super::Message;

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The target gave a whole answer.
    Answered,
    /// The target failed.
    Failed,
    /// The attempt was given up before its end.
    Cancelled,
}

/// The right to run one attempt on a target. Dropping it frees the place.
pub(crate) struct Permit {
    target: Rc<Target>,
    outcome: Outcome,
    router: mpsc::UnboundedSender<Message>,
}

impl Permit {
    pub(crate) fn new(target: Rc<Target>, router: mpsc::UnboundedSender<Message>) -> Self {
        Self { target, outcome: Outcome::Cancelled, router }
    }

    pub(crate) fn target(&self) -> &Target {
        &self.target
    }

    /// Ends the attempt.
    pub(crate) fn finish(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let target = self.target.name.clone();
        let done = Message::Done { target, outcome: self.outcome };
        let _ = self.router.unbounded_send(done);
    }
}
