use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use tamarackdock_config::{propagate, reachability};
use tamarackdock_membership as membership;
use tamarackdock_route::credit;

/// The reply to a message.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Reply {
    /// Nothing to say.
    Ok,
    /// Credits, if there are any.
    Credit(Option<credit::Grant>),
    /// The holder's answer to a trainer.
    Step(StepAnswer),
    /// Messages of the membership in return.
    Membership(Vec<membership::Message>),
    /// Messages about the configuration in return.
    Config(Vec<propagate::Message>),
    /// What the receiver knows of the store.
    Reachability(reachability::Answer),
    /// The node does not know what to do with the message.
    Unsupported,
}

/// An HTTP answer as the holder of a step made it.
#[serde_as]
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct StepAnswer {
    pub(crate) status: u16,
    pub(crate) retry_after: Option<String>,
    #[serde_as(as = "serde_with::Bytes")]
    pub(crate) body: Vec<u8>,
}
