use std::rc::Rc;

use futures_channel::oneshot;
use tamarackdock_config::deployment::Role;
use tamarackdock_types::{ServiceName, TargetName, refusal::Refusal};

use super::{Outcome, Permit};
use crate::active::Active;

/// What a call needs from a target.
#[derive(Debug, Clone)]
pub(crate) struct Query {
    pub(crate) service: ServiceName,
    /// Work that the call belongs to.
    pub(crate) role: Role,
    /// Targets that the call tried already.
    pub(crate) tried: Vec<TargetName>,
}

/// Places for a service's samples.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Capacity {
    /// Calls that the targets run at once.
    pub(crate) total: usize,
    /// Places that this node does not use.
    pub(crate) free: usize,
}

/// A message to the router task.
pub(crate) enum Message {
    /// A new configuration is in force.
    Configure(Rc<Active>),
    /// Choose a target.
    Choose { query: Query, reply: oneshot::Sender<Result<Permit, Refusal>> },
    /// An attempt ended.
    Done { target: TargetName, outcome: Outcome },
    /// Count the places for a service's samples.
    Capacity { service: ServiceName, reply: oneshot::Sender<Capacity> },
    /// Describe the state.
    Dump { reply: oneshot::Sender<serde_json::Value> },
}
