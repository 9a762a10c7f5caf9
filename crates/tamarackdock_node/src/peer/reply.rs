use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use tamarackdock_config::{propagate, reachability};
use tamarackdock_membership as membership;
use tamarackdock_route::credit;

/// The reply to a message.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Reply {
    /// The message was handled and has no further reply.
    Ok,
    /// The credits granted, or `None` if there are none.
    Credit(Option<credit::Grant>),
    /// The holder's answer to a trainer.
    Step(StepAnswer),
    /// Membership messages to the sender.
    Membership(Vec<membership::Message>),
    /// Configuration messages to the sender.
    Config(Vec<propagate::Message>),
    /// What the replying node knows about the state of the store.
    Reachability(reachability::Answer),
    /// The replying node can't decode or handle the message.
    Unsupported,
}

/// An HTTP answer of the holder of a step.
#[serde_as]
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct StepAnswer {
    pub(crate) status: u16,
    pub(crate) retry_after: Option<String>,
    #[serde_as(as = "serde_with::Bytes")]
    pub(crate) body: Vec<u8>,
}
