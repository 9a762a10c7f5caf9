//! Passes the messages of other nodes to the parts that they concern.

use std::rc::Rc;

use futures_util::{FutureExt, future::LocalBoxFuture};

use crate::{
    peer::{self, Message, Reply},
    step::Service,
    targets, usage,
};

/// The parts of a node that other nodes talk to.
pub(crate) struct Dispatch {
    steps: Rc<Service>,
    usage: usage::Handle,
    targets: targets::Watch,
}

impl Dispatch {
    pub(crate) fn new(steps: Rc<Service>, usage: usage::Handle, targets: targets::Watch) -> Self {
        Self { steps, usage, targets }
    }
}

impl peer::Dispatch for Dispatch {
    fn dispatch(&self, message: Message) -> LocalBoxFuture<'_, Reply> {
        async move {
            match message {
                Message::Step(call) => {
                    let answer = self.steps.answer_as_holder(&call).await;
                    answer.map_or(Reply::Unsupported, Reply::Step)
                }
                Message::Targets(update) => {
                    self.targets.apply(update);
                    Reply::Ok
                }
                Message::Usage { origin, batches } => {
                    self.usage.keep(origin, batches);
                    Reply::Ok
                }
            }
        }
        .boxed_local()
    }
}
