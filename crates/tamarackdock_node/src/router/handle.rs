use std::rc::Rc;

use futures_channel::{mpsc, oneshot};
use tamarackdock_types::{
    ServiceName,
    refusal::{Code, Refusal},
};

use super::{Capacity, Message, Permit, Query};
use crate::active::Active;

/// Sends messages to the router task.
#[derive(Clone)]
pub(crate) struct Handle(mpsc::UnboundedSender<Message>);

impl Handle {
    pub(super) fn new(sender: mpsc::UnboundedSender<Message>) -> Self {
        Self(sender)
    }

    /// Announces a new configuration.
    pub(crate) fn configure(&self, active: Rc<Active>) {
        let _ = self.0.unbounded_send(Message::Configure(active));
    }

    /// Chooses a target for an attempt.
    pub(crate) async fn choose(&self, query: Query) -> Result<Permit, Refusal> {
        let (reply, answer) = oneshot::channel();
        let _ = self.0.unbounded_send(Message::Choose { query, reply });
        answer
            .await
            .unwrap_or_else(|_| Err(Refusal::not_run(Code::Stopping, "the node is stopping")))
    }

    /// Counts the places for a service's samples.
    pub(crate) async fn capacity(&self, service: ServiceName) -> Capacity {
        let (reply, answer) = oneshot::channel();
        let _ = self.0.unbounded_send(Message::Capacity { service, reply });
        answer.await.unwrap_or_default()
    }

    /// Describes the router's state.
    pub(crate) async fn dump(&self) -> serde_json::Value {
        let (reply, answer) = oneshot::channel();
        let _ = self.0.unbounded_send(Message::Dump { reply });
        answer.await.unwrap_or_default()
    }
}
