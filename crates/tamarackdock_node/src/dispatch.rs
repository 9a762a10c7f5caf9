//! Passes the messages of other nodes to the parts that they concern.

use std::rc::Rc;

use futures_util::{FutureExt, future::LocalBoxFuture};

use crate::{
    membership,
    peer::{self, Message, Reply},
    step::Service,
};

/// The parts of a node that other nodes talk to.
pub(crate) struct Dispatch {
    steps: Rc<Service>,
    membership: Rc<membership::Service>,
}

impl Dispatch {
    pub(crate) fn new(steps: Rc<Service>, membership: Rc<membership::Service>) -> Self {
        Self { steps, membership }
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
                Message::Membership(message) => Reply::Membership(self.membership.receive(message)),
            }
        }
        .boxed_local()
    }
}
