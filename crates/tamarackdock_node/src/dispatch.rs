//! Passes each message of another node to the component that handles it.

use std::rc::Rc;

use futures_util::{FutureExt, future::LocalBoxFuture};

use tamarackdock_types::clock::{BootClock, Clock};

use crate::{
    config,
    context::Context,
    membership,
    peer::{self, Message, Reply},
    reachability::Gate,
    router,
    step::Service,
    targets, usage,
};

/// The components of a node that handle messages of other nodes.
pub(crate) struct Dispatch {
    steps: Rc<Service>,
    router: router::Handle,
    usage: usage::Handle,
    targets: targets::TargetStates,
    membership: Rc<membership::Service>,
    config: Rc<config::Service>,
    gate: Gate,
}

impl Dispatch {
    pub(crate) fn new(
        context: &Context,
        steps: Rc<Service>,
        membership: Rc<membership::Service>,
        config: Rc<config::Service>,
    ) -> Self {
        Self {
            steps,
            router: context.router.clone(),
            usage: context.usage.clone(),
            targets: context.targets.clone(),
            membership,
            config,
            gate: context.gate.clone(),
        }
    }
}

impl peer::Dispatch for Dispatch {
    fn dispatch(&self, message: Message) -> LocalBoxFuture<'_, Reply> {
        async move {
            match message {
                Message::Credit { target, holder, request } => {
                    Reply::Credit(self.router.grant(target, holder, request).await)
                }
                Message::Crashed { target, requests } => {
                    self.router.report_crash(target, requests);
                    Reply::Ok
                }
                Message::Quarantine(entries) => {
                    self.router.merge_quarantine(entries);
                    Reply::Ok
                }
                Message::Step(call) => {
                    let answer = self.steps.answer_as_holder(&call).await;
                    answer.map_or(Reply::Unsupported, Reply::Step)
                }
                Message::Targets(update) => {
                    self.targets.apply(update);
                    Reply::Ok
                }
                Message::Usage { origin, batches } => {
                    self.usage.keep_copies(origin, batches);
                    Reply::Ok
                }
                Message::Config { from, message } => {
                    Reply::Config(self.config.receive(&from, message))
                }
                Message::Reachability(sent_at) => {
                    let now = BootClock.now();
                    Reply::Reachability(self.gate.with(|state| state.answer_query(now, sent_at)))
                }
                Message::Membership(message) => Reply::Membership(self.membership.receive(message)),
            }
        }
        .boxed_local()
    }
}
