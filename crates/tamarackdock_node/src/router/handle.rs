use std::rc::Rc;

use futures_channel::{mpsc, oneshot};
use tamarackdock_route::{credit, quarantine};
use tamarackdock_types::{
    HostName, ServiceName, TargetName,
    refusal::{Code, Refusal},
};

use super::{AdmissionRequest, Admitted, Capacity, Message, Permit, Query};
use crate::{active::Active, peer};

/// Sends messages to the router task.
#[derive(Clone)]
pub(crate) struct Handle(mpsc::UnboundedSender<Message>);

impl Handle {
    pub(super) fn new(sender: mpsc::UnboundedSender<Message>) -> Self {
        Self(sender)
    }

    /// Applies a new configuration.
    pub(crate) fn configure(&self, active: Rc<Active>) {
        self.send(Message::Configure(active));
    }

    /// Waits until a call may start or is refused.
    pub(crate) async fn admit(&self, request: AdmissionRequest) -> Result<Admitted, Refusal> {
        let (reply, answer) = oneshot::channel();
        self.send(Message::Admit { request, reply });
        answer.await.unwrap_or_else(|_| Err(stopping()))
    }

    /// Waits until a target is free for an attempt, or the attempt is refused.
    pub(crate) async fn choose_target(&self, query: Query) -> Result<Permit, Refusal> {
        let (reply, answer) = oneshot::channel();
        self.send(Message::Choose { query, reply });
        answer.await.unwrap_or_else(|_| Err(stopping()))
    }

    /// Grants credits for a cold target to another node, or returns `None` if this node may not
    /// grant any.
    pub(crate) async fn grant(
        &self,
        target: TargetName,
        holder: HostName,
        request: credit::Request,
    ) -> Option<credit::Grant> {
        let (reply, answer) = oneshot::channel();
        self.send(Message::CreditRequest { target, holder, request, reply });
        answer.await.ok().flatten()
    }

    /// Reports a crash that another node saw, with the requests that the target ran.
    pub(crate) fn report_crash(&self, target: TargetName, requests: Vec<peer::CrashedRequest>) {
        self.send(Message::Crashed { target, requests });
    }

    /// Adds requests that another node put into quarantine.
    pub(crate) fn merge_quarantine(&self, entries: Vec<quarantine::Entry>) {
        self.send(Message::Quarantine(entries));
    }

    /// Returns the capacity for a service's samples.
    pub(crate) async fn capacity(&self, service: ServiceName) -> Capacity {
        let (reply, answer) = oneshot::channel();
        self.send(Message::Capacity { service, reply });
        answer.await.unwrap_or_default()
    }

    /// Returns the router's state as JSON, for operators.
    pub(crate) async fn dump(&self) -> serde_json::Value {
        let (reply, answer) = oneshot::channel();
        self.send(Message::Dump { reply });
        answer.await.unwrap_or_default()
    }

    fn send(&self, message: Message) {
        // Fails only while the runtime shuts down.
        let _ = self.0.unbounded_send(message);
    }
}

fn stopping() -> Refusal {
    Refusal::not_run(Code::Stopping, "the node is stopping")
}
