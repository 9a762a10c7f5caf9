use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use tamarackdock_config::propagate;
use tamarackdock_membership as membership;
use tamarackdock_route::{credit, quarantine};
use tamarackdock_types::{HostName, TargetName, clock::Instant};
use tamarackdock_usage::{Batch, NodeRun};

use crate::targets::Update;

/// A message to another node.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Asks for credits of a cold target on behalf of the node `holder`.
    Credit { target: TargetName, holder: HostName, request: credit::Request },
    /// Reports a target that crashed, with the requests that it was running.
    Crashed { target: TargetName, requests: Vec<CrashedRequest> },
    /// Requests that the sender quarantined. The receiver quarantines them too.
    Quarantine(Vec<quarantine::Entry>),
    /// A trainer's call that the holder of its step must answer.
    Step(StepCall),
    /// Unflushed usage counts of the run `origin` of the sender. The receiver flushes them if
    /// the sender dies.
    Usage { origin: NodeRun, batches: Vec<Batch> },
    /// A membership probe, its answer, or a request to probe another member.
    Membership(membership::Message),
    /// A part of the configuration, or the version that the sender has.
    Config {
        /// Host that sends the message.
        from: HostName,
        /// Message of the propagation state machine.
        message: propagate::Message,
    },
    /// Asks when the receiver last reached the store. Holds the time of sending on the
    /// sender's clock.
    Reachability(Instant),
    /// Reports of engines from the node that holds the lease of their data centre.
    Targets(Update),
}

/// A request that was in flight on a target that crashed.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct CrashedRequest {
    /// Fingerprint of the request.
    pub(crate) fingerprint: u64,
    /// Time since it was sent to the target. It is not a point in time, since the clocks of
    /// nodes can't be compared.
    pub(crate) age: Duration,
}

/// A trainer's call. The node that received it has checked its key.
#[serde_as]
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct StepCall {
    pub(crate) method: String,
    pub(crate) uri: String,
    #[serde_as(as = "serde_with::Bytes")]
    pub(crate) body: Vec<u8>,
}
