use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use tamarackdock_config::propagate;
use tamarackdock_membership as membership;
use tamarackdock_route::{credit, quarantine};
use tamarackdock_types::{HostName, TargetName, clock::Instant};
use tamarackdock_usage::{Batch, Keys};

use crate::targets::Update;

/// A message to another node.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Message {
    /// A node asks for credits of a cold target.
    Credit { target: TargetName, holder: HostName, request: credit::Request },
    /// A target crashed while it ran requests.
    Crashed { target: TargetName, requests: Vec<Crashed> },
    /// Requests are held back.
    Quarantine(Vec<quarantine::Entry>),
    /// A trainer's call that the holder of its step must answer.
    Step(StepCall),
    /// Unflushed counts of the sender, to be flushed if it dies.
    Usage { origin: Keys, batches: Vec<Batch> },
    /// A probe, its answer, or a request to probe.
    Membership(membership::Message),
    /// The configuration, or what the sender has of it.
    Config {
        /// Sender.
        from: HostName,
        /// Message.
        message: propagate::Message,
    },
    /// Asks when the receiver last reached the store, with the time of sending on
    /// the sender's clock.
    Reachability(Instant),
    /// Reports of engines from the holder of their data centre.
    Targets(Update),
}

/// A request that was in flight on a target that crashed.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct Crashed {
    /// Fingerprint of the request.
    pub(crate) fingerprint: u64,
    /// Time since it was sent to the target. Clocks of nodes can't be compared.
    pub(crate) age: Duration,
}

/// A trainer's call, checked for its key by the node that received it.
#[serde_as]
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct StepCall {
    pub(crate) method: String,
    pub(crate) uri: String,
    #[serde_as(as = "serde_with::Bytes")]
    pub(crate) body: Vec<u8>,
}
