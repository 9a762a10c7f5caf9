//! Passes the messages of other nodes to the parts that they concern.

use std::rc::Rc;

use futures_util::{FutureExt, future::LocalBoxFuture};

use tamarackdock_types::clock::{BootClock, Clock};

use crate::{
    config, membership,
    peer::{self, Message, Reply},
    reachability::Gate,
    step::Service,
};

/// The parts of a node that other nodes talk to.
pub(crate) struct Dispatch {
    steps: Rc<Service>,
    membership: Rc<membership::Service>,
    config: Rc<config::Service>,
    gate: Gate,
}

impl Dispatch {
    pub(crate) fn new(
        steps: Rc<Service>,
        membership: Rc<membership::Service>,
        config: Rc<config::Service>,
        gate: Gate,
    ) -> Self {
        Self { steps, membership, config, gate }
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
                Message::Config { from, message } => {
                    Reply::Config(self.config.receive(&from, message))
                }
                Message::Reachability(sent) => {
                    let now = BootClock.now();
                    Reply::Reachability(self.gate.with(|state| state.asked(now, sent)))
                }
                Message::Membership(message) => Reply::Membership(self.membership.receive(message)),
            }
        }
        .boxed_local()
    }
}
