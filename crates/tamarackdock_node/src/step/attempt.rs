use std::time::Duration;

use futures_channel::mpsc;
use futures_util::{
    FutureExt,
    future::{Either, LocalBoxFuture, select},
    pin_mut,
};
use tamarackdock_admit::Level;
use tamarackdock_rollout::{attempt::Attempt, step::Input};
use tamarackdock_types::{
    TargetName,
    clock::{BootClock, Clock, Instant},
};
use tamarackdock_wire::flag::Flag;

use crate::{
    context::Context,
    engine::{self, Event, Generation, Sink},
    router::{Outcome, Query},
};

/// The task of one attempt of a slot.
pub(super) struct AttemptTask {
    pub(super) context: Context,
    pub(super) attempt: Attempt,
    pub(super) generation: Generation,
    /// Tokens of earlier attempts, after which this one continues.
    pub(super) resume: Vec<u32>,
    pub(super) avoid: Option<TargetName>,
    pub(super) inputs: mpsc::UnboundedSender<Input>,
    pub(super) cancelled: Flag,
}

/// Passes the events of a generation to the step as generated tokens of an attempt.
struct TokenSink {
    attempt: Attempt,
    /// Number of tokens before the next event, including those of earlier attempts.
    position: u32,
    started: Instant,
    first_byte: Option<Duration>,
    inputs: mpsc::UnboundedSender<Input>,
}

impl Sink for TokenSink {
    fn accept(&mut self, event: Event) -> LocalBoxFuture<'_, bool> {
        let started = self.started;
        self.first_byte.get_or_insert_with(|| BootClock.now().since(started));
        let position = self.position;
        self.position += u32::try_from(event.tokens.len()).unwrap_or(u32::MAX);
        let input = Input::TokensGenerated {
            attempt: self.attempt,
            position,
            tokens: event.tokens,
            text: event.text,
            version: event.version,
        };
        std::future::ready(self.inputs.unbounded_send(input).is_ok()).boxed_local()
    }
}

impl AttemptTask {
    /// Runs the attempt until it ends or is cancelled. A cancelled attempt reports no result.
    pub(super) async fn run(self) {
        let cancelled = self.cancelled.clone();
        let work = self.generate();
        let cancel = cancelled.wait();
        pin_mut!(work, cancel);
        if let Either::Left((input, _)) = select(work, cancel).await {
            let _ = self.inputs.unbounded_send(input);
        }
    }

    async fn generate(&self) -> Input {
        let failed = Input::AttemptFailed { attempt: self.attempt };
        let request = self.generation.admission_request();
        let deadline = request.deadline;
        let Ok(_admitted) = self.context.router.admit(request).await else {
            return failed;
        };
        let query = Query {
            service: self.generation.service.clone(),
            level: Level::Batch,
            prefix: self.generation.prefix(),
            fingerprint: None,
            tried: self.avoid.iter().cloned().collect(),
            is_retry: false,
            deadline,
        };
        let Ok(permit) = self.context.router.choose_target(query).await else {
            return failed;
        };
        let target = permit.target().clone();
        let input = Input::Started { attempt: self.attempt, target: target.name.clone() };
        let _ = self.inputs.unbounded_send(input);
        self.context.metrics.attempts.inc();
        let _in_flight = self.context.targets.start_call(&target.name);
        let position = u32::try_from(self.resume.len()).unwrap_or(u32::MAX);
        let mut sink = TokenSink {
            attempt: self.attempt,
            position,
            started: BootClock.now(),
            first_byte: None,
            inputs: self.inputs.clone(),
        };
        let attempt = engine::Attempt {
            generation: &self.generation,
            target: &target,
            id: self.generation.id.clone(),
            resume: &self.resume,
            credit_expired: permit.credit_expired(),
            meter: self.context.usage.meter(self.generation.account.clone()),
        };
        let limits = &self.context.active.get().deployment.limits;
        let result = attempt.run(&self.context.pool, limits, &mut sink).await;
        let generated = sink.position - position;
        self.context.metrics.tokens.inc_by(generated.into());
        if let Err(failure) = result {
            permit.finish(failure.outcome());
            return failed;
        }
        permit.finish(Outcome::Answered { first_byte: sink.first_byte });
        Input::Finished { attempt: self.attempt, tokens: sink.position }
    }
}
