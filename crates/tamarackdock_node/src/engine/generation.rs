use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use slog::debug;
use tamarackdock_admit::Level;
use tamarackdock_route::fingerprint;
use tamarackdock_types::{
    AccountName, ServiceName,
    call::Ran,
    clock::{BootClock, Clock, Instant},
    refusal::{Code, Refusal},
};

use super::{Attempt, Event, Failure};
use crate::{
    context::Context,
    router::{AdmissionRequest, Outcome, Query},
};

const MAX_ATTEMPTS: usize = 4;
/// Account under which calls on open routes are admitted, which have none of their own.
const OPEN_ACCOUNT: &str = "open";
/// Length of the prompt's start by which a target is chosen: a few blocks of a prefix cache.
const PREFIX_BYTES: usize = 256;
/// Longest time that an app call waits for its start.
const APP_MAX_WAIT: Duration = Duration::from_secs(3);
/// Longest time that a sample waits for its start.
const BATCH_MAX_WAIT: Duration = Duration::from_mins(1);

/// Receives the events of a generation.
pub(crate) trait Sink {
    /// Handles an event and returns whether more are wanted.
    fn accept(&mut self, event: Event) -> LocalBoxFuture<'_, bool>;
}

/// A request to generate text, which any engine of a service can run.
#[derive(Debug, Clone)]
pub(crate) struct Generation {
    /// Base of the request ids of its attempts.
    pub(crate) id: String,
    pub(crate) service: ServiceName,
    /// Client account that is charged, `None` on open routes.
    pub(crate) account: Option<AccountName>,
    pub(crate) prompt: String,
    pub(crate) max_tokens: u32,
    /// Priority for admission and for the engines.
    pub(crate) level: Level,
    /// Whether it may run more than once.
    pub(crate) idempotent: bool,
    /// Other fields of the caller's request, passed to the engine as they are.
    pub(crate) extra: serde_json::Map<String, serde_json::Value>,
}

/// Totals of a completed generation.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Summary {
    /// Tokens of all attempts that were passed to the sink.
    pub(crate) tokens: u64,
}

/// Records the tokens that were passed to the sink, so that another engine can continue after them.
struct Recorder<'a> {
    sink: &'a mut dyn Sink,
    tokens: Vec<u32>,
    started: Instant,
    first_byte: Option<Duration>,
}

impl Recorder<'_> {
    /// Restarts the measurement of the time to the first byte, for a new attempt.
    fn start_attempt(&mut self) {
        self.started = BootClock.now();
        self.first_byte = None;
    }
}

impl Sink for Recorder<'_> {
    fn accept(&mut self, event: Event) -> LocalBoxFuture<'_, bool> {
        let started = self.started;
        self.first_byte.get_or_insert_with(|| BootClock.now().since(started));
        self.tokens.extend_from_slice(&event.tokens);
        self.sink.accept(event)
    }
}

impl Generation {
    /// Generates the text and passes its events to the sink. If an engine fails,
    /// another one continues after the tokens that were already passed on.
    pub(crate) async fn run(
        &self,
        context: &Context,
        sink: &mut dyn Sink,
    ) -> Result<Summary, Refusal> {
        let limits = context.active.get().deployment.limits.clone();
        let mut recorder =
            Recorder { sink, tokens: Vec::new(), started: BootClock.now(), first_byte: None };
        let mut tried = Vec::new();
        let deadline = BootClock.now() + self.max_wait();
        let mut is_retry = false;
        let mut last = None;
        loop {
            let query = Query {
                service: self.service.clone(),
                level: self.level,
                prefix: self.prefix(),
                fingerprint: Some(self.fingerprint()),
                tried: tried.clone(),
                is_retry,
                deadline,
            };
            // The failure of the last attempt tells more than a refused retry does.
            let permit = match (context.router.choose_target(query).await, last) {
                (Ok(permit), _) => permit,
                (Err(refusal), Some(failure)) if refusal.code != Code::Quarantined => {
                    return Err(refusal_of(failure));
                }
                (Err(refusal), _) => return Err(refusal),
            };
            let target = permit.target().clone();
            context.metrics.attempts.inc();
            let _in_flight = context.targets.start_call(&target.name);
            let resume = recorder.tokens.clone();
            let id = format!("{}-{}", self.id, tried.len());
            let credit_expired = permit.credit_expired();
            let meter = context.usage.meter(self.account.clone());
            let attempt = Attempt {
                generation: self,
                target: &target,
                id,
                resume: &resume,
                credit_expired,
                meter,
            };
            recorder.start_attempt();
            let failure = match attempt.run(&context.pool, &limits, &mut recorder).await {
                Ok(()) => {
                    permit.finish(Outcome::Answered { first_byte: recorder.first_byte });
                    let tokens = recorder.tokens.len() as u64;
                    context.metrics.tokens.inc_by(tokens);
                    return Ok(Summary { tokens });
                }
                Err(failure) => failure,
            };
            debug!(context.log, "attempt failed"; "target" => %target.name, "error" => %failure);
            permit.finish(failure.outcome());
            tried.push(target.name.clone());
            if !self.may_retry(failure, tried.len()) {
                return Err(refusal_of(failure));
            }
            is_retry = failure != Failure::CreditExpired;
            last = Some(failure);
        }
    }

    /// Creates the call's request for admission.
    pub(crate) fn admission_request(&self) -> AdmissionRequest {
        AdmissionRequest {
            service: self.service.clone(),
            account: account_or_open(self.account.as_ref()),
            level: self.level,
            tokens: self.max_tokens,
            deadline: BootClock.now() + self.max_wait(),
        }
    }

    /// Returns the hash of the prompt's start, by which engines with a warm prefix cache are found.
    pub(crate) fn prefix(&self) -> u64 {
        let bytes = self.prompt.as_bytes();
        fingerprint(&bytes[..bytes.len().min(PREFIX_BYTES)])
    }

    /// Returns the hash of the service and the prompt, by which a repeated request is recognized.
    fn fingerprint(&self) -> u64 {
        let service = fingerprint(self.service.as_str().as_bytes());
        service ^ fingerprint(self.prompt.as_bytes())
    }

    /// Returns how long the call may wait for its start.
    fn max_wait(&self) -> Duration {
        match self.level {
            Level::App => APP_MAX_WAIT,
            Level::Batch => BATCH_MAX_WAIT,
        }
    }

    fn may_retry(&self, failure: Failure, attempts: usize) -> bool {
        match failure {
            Failure::CallerDisconnected | Failure::Rejected(_) => false,
            Failure::CreditExpired => self.idempotent,
            _ if attempts >= MAX_ATTEMPTS => false,
            _ => self.idempotent || failure.ran() == Ran::No,
        }
    }
}

fn refusal_of(failure: Failure) -> Refusal {
    let code = match failure {
        Failure::Rejected(_) => Code::BadRequest,
        Failure::Connection(tamarackdock_wire::client::Error::TimedOut) => Code::TargetTimeout,
        _ => Code::TargetFailed,
    };
    match failure.ran() {
        Ran::No => Refusal::not_run(code, failure.to_string()),
        Ran::Unknown | Ran::Yes => Refusal::unknown(code, failure.to_string()),
    }
}

/// Returns the account under which a call is admitted. All calls on open routes share one.
pub(crate) fn account_or_open(account: Option<&AccountName>) -> AccountName {
    account.cloned().unwrap_or_else(|| AccountName::new(OPEN_ACCOUNT).expect("a constant name"))
}
