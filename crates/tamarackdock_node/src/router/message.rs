use std::rc::Rc;

use futures_channel::oneshot;
use tamarackdock_admit::Level;
use tamarackdock_route::{Key, credit, quarantine};
use tamarackdock_types::{
    AccountName, HostName, ServiceName, TargetName, clock::Instant, refusal::Refusal,
};

use super::{Admitted, Outcome, Permit};
use crate::{active::Active, engine::LoadReport, peer};

/// A request to admit a call.
#[derive(Debug, Clone)]
pub(crate) struct AdmissionRequest {
    pub(crate) service: ServiceName,
    pub(crate) account: AccountName,
    pub(crate) level: Level,
    /// Upper bound of the tokens that the call can generate.
    pub(crate) tokens: u32,
    /// Time at which the call is refused if it has not started.
    pub(crate) deadline: Instant,
}

/// A request to choose a target for an attempt.
#[derive(Debug, Clone)]
pub(crate) struct Query {
    pub(crate) service: ServiceName,
    pub(crate) level: Level,
    /// Hash of the start of the prompt.
    pub(crate) prefix: u64,
    /// Hash by which the quarantine recognises a repeated request. For a generation, it covers
    /// the service and the prompt. `None` for samples of a step, which are owed even if targets
    /// crashed while they ran them.
    pub(crate) fingerprint: Option<u64>,
    /// Targets that are excluded, such as those of the call's earlier attempts.
    pub(crate) tried: Vec<TargetName>,
    /// Whether the attempt counts against the retry budget.
    pub(crate) is_retry: bool,
    /// Time until which the attempt may wait for a target.
    pub(crate) deadline: Instant,
}

/// The capacity for a service's samples, in concurrent calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Capacity {
    /// Sum of the targets' limits.
    pub(crate) total: usize,
    /// Part of the total that no call uses.
    pub(crate) free: usize,
}

/// The result of an attempt that has ended, sent when its [`Permit`] is dropped.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptEnd {
    pub(crate) attempt: u64,
    pub(crate) key: Key,
    pub(crate) fingerprint: Option<u64>,
    pub(crate) outcome: Outcome,
}

/// A message to the router task.
pub(crate) enum Message {
    /// Apply a new configuration.
    Configure(Rc<Active>),
    /// Admit a call.
    Admit { request: AdmissionRequest, reply: oneshot::Sender<Result<Admitted, Refusal>> },
    /// An admitted or waiting call ended.
    Finish { call: u64 },
    /// Choose a target.
    Choose { query: Query, reply: oneshot::Sender<Result<Permit, Refusal>> },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// A load poll ended. Without a valid answer, `report` is `None`. `next` is the time of the
    /// next poll.
    Report { key: Key, report: Option<LoadReport>, next: Instant },
    /// A connection attempt to a target without load reports ended.
    Probed { key: Key, is_up: bool, next: Instant },
    /// Another node requests credits for a cold target.
    CreditRequest {
        target: TargetName,
        holder: HostName,
        request: credit::Request,
        reply: oneshot::Sender<Option<credit::Grant>>,
    },
    /// The granting node granted credits for a cold target.
    CreditGrant { key: Key, grant: credit::Grant },
    /// Another node saw a target crash while it ran `requests`.
    Crashed { target: TargetName, requests: Vec<peer::CrashedRequest> },
    /// Another node put requests into quarantine.
    Quarantine(Vec<quarantine::Entry>),
    /// Compute the capacity for a service's samples.
    Capacity { service: ServiceName, reply: oneshot::Sender<Capacity> },
    /// Return the router's state as JSON.
    Dump { reply: oneshot::Sender<serde_json::Value> },
}
