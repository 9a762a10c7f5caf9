//! Passes the messages of other nodes to the parts that they concern.

use std::rc::Rc;

use futures_util::{FutureExt, future::LocalBoxFuture};

use crate::{
    membership,
    peer::{self, Message, Reply},
    router,
    step::Service,
    usage,
};

/// The parts of a node that other nodes talk to.
pub(crate) struct Dispatch {
    steps: Rc<Service>,
    router: router::Handle,
    usage: usage::Handle,
    membership: Rc<membership::Service>,
}

impl Dispatch {
    pub(crate) fn new(
        steps: Rc<Service>,
        router: router::Handle,
        usage: usage::Handle,
        membership: Rc<membership::Service>,
    ) -> Self {
        Self { steps, router, usage, membership }
    }
}

impl peer::Dispatch for Dispatch {
    fn dispatch(&self, message: Message) -> LocalBoxFuture<'_, Reply> {
        async move {
            match message {
                Message::Credit { target, holder, request } => {
                    Reply::Credit(self.router.grant(target, holder, request).await)
                }
                Message::Crashed { target, fingerprints } => {
                    self.router.crashed(target, fingerprints);
                    Reply::Ok
                }
                Message::Quarantine(entries) => {
                    self.router.quarantine(entries);
                    Reply::Ok
                }
                Message::Step(call) => {
                    let answer = self.steps.answer_as_holder(&call).await;
                    answer.map_or(Reply::Unsupported, Reply::Step)
                }
                Message::Usage { origin, batches } => {
                    self.usage.keep(origin, batches);
                    Reply::Ok
                }
                Message::Membership(message) => Reply::Membership(self.membership.receive(message)),
            }
        }
        .boxed_local()
    }
}
