use std::rc::Rc;

use futures_channel::oneshot;
use tamarackdock_admit::Level;
use tamarackdock_route::{Key, credit, quarantine};
use tamarackdock_types::{
    AccountName, HostName, ServiceName, TargetName, clock::Instant, refusal::Refusal,
};

use super::{Admitted, Outcome, Permit};
use crate::{active::Active, engine::Load, peer};

/// A call that asks to be admitted.
#[derive(Debug, Clone)]
pub(crate) struct Admit {
    pub(crate) service: ServiceName,
    pub(crate) account: AccountName,
    pub(crate) level: Level,
    /// Most tokens that the call can generate.
    pub(crate) tokens: u32,
    /// When it must have started.
    pub(crate) deadline: Instant,
}

/// What an attempt needs from a target.
#[derive(Debug, Clone)]
pub(crate) struct Query {
    pub(crate) service: ServiceName,
    pub(crate) level: Level,
    /// Hash of the start of the prompt.
    pub(crate) prefix: u64,
    /// Hash of the whole request.
    pub(crate) fingerprint: u64,
    /// Targets that the call tried already.
    pub(crate) tried: Vec<TargetName>,
    /// Whether the attempt counts against the retry budget.
    pub(crate) is_retry: bool,
    /// Until when the attempt may wait for a target.
    pub(crate) deadline: Instant,
}

/// Places for a service's samples.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Capacity {
    /// Calls that the targets run at once.
    pub(crate) total: usize,
    /// Places that are not in use.
    pub(crate) free: usize,
}

/// The end of an attempt.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Done {
    pub(crate) attempt: u64,
    pub(crate) key: Key,
    pub(crate) fingerprint: u64,
    pub(crate) outcome: Outcome,
}

/// A message to the router task.
pub(crate) enum Message {
    /// A new configuration is in force.
    Configure(Rc<Active>),
    /// Admit a call.
    Admit { admit: Admit, reply: oneshot::Sender<Result<Admitted, Refusal>> },
    /// An admitted or waiting call ended.
    Finish { call: u64 },
    /// Choose a target.
    Choose { query: Query, reply: oneshot::Sender<Result<Permit, Refusal>> },
    /// An attempt ended.
    Done(Done),
    /// A target answered a load poll, or did not.
    Report { key: Key, report: Option<Load>, next: Instant },
    /// A target without reports could be connected to, or not.
    Probed { key: Key, is_up: bool, next: Instant },
    /// Another node asks for credits of a cold target.
    CreditRequest {
        target: TargetName,
        holder: HostName,
        request: credit::Request,
        reply: oneshot::Sender<Option<credit::Grant>>,
    },
    /// The granting node answered.
    CreditGrant { key: Key, grant: credit::Grant },
    /// Another node saw a target crash under requests.
    Crashed { target: TargetName, requests: Vec<peer::Crashed> },
    /// Another node holds requests back.
    Quarantine(Vec<quarantine::Entry>),
    /// Count the places for a service's samples.
    Capacity { service: ServiceName, reply: oneshot::Sender<Capacity> },
    /// Describe the state.
    Dump { reply: oneshot::Sender<serde_json::Value> },
}
