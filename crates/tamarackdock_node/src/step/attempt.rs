use futures_channel::mpsc;
use futures_util::{
    FutureExt,
    future::{Either, LocalBoxFuture, select},
    pin_mut,
};
use tamarackdock_config::deployment::Role;
use tamarackdock_rollout::{attempt::Attempt, step::Input};
use tamarackdock_types::TargetName;
use tamarackdock_wire::flag::Flag;

use crate::{
    context::Context,
    engine::{self, Event, Generation, Sink},
    router::{Outcome, Query},
};

/// One attempt of a slot.
pub(super) struct Task {
    pub(super) context: Context,
    pub(super) attempt: Attempt,
    pub(super) generation: Generation,
    pub(super) resume: Vec<u32>,
    pub(super) avoid: Option<TargetName>,
    pub(super) inputs: mpsc::UnboundedSender<Input>,
    pub(super) cancelled: Flag,
}

struct Pieces {
    attempt: Attempt,
    position: u32,
    inputs: mpsc::UnboundedSender<Input>,
}

impl Sink for Pieces {
    fn accept(&mut self, event: Event) -> LocalBoxFuture<'_, bool> {
        let position = self.position;
        self.position += u32::try_from(event.tokens.len()).unwrap_or(u32::MAX);
        let piece = Input::Piece {
            attempt: self.attempt,
            position,
            tokens: event.tokens,
            text: event.text,
            version: event.version,
        };
        std::future::ready(self.inputs.unbounded_send(piece).is_ok()).boxed_local()
    }
}

impl Task {
    /// Runs the attempt until it ends or is cancelled.
    pub(super) async fn run(self) {
        let cancelled = self.cancelled.clone();
        let work = self.attempt();
        let cancel = cancelled.wait();
        pin_mut!(work, cancel);
        if let Either::Left((input, _)) = select(work, cancel).await {
            let _ = self.inputs.unbounded_send(input);
        }
    }

    async fn attempt(&self) -> Input {
        let failed = Input::AttemptFailed { attempt: self.attempt };
        let query = Query {
            service: self.generation.service.clone(),
            role: Role::Training,
            tried: self.avoid.iter().cloned().collect(),
        };
        let Ok(permit) = self.context.router.choose(query).await else {
            return failed;
        };
        let target = permit.target().clone();
        let started = Input::Started { attempt: self.attempt, target: target.name.clone() };
        let _ = self.inputs.unbounded_send(started);
        self.context.metrics.attempts.inc();
        let _in_flight = self.context.targets.begin(&target.name);
        let position = u32::try_from(self.resume.len()).unwrap_or(u32::MAX);
        let mut pieces = Pieces { attempt: self.attempt, position, inputs: self.inputs.clone() };
        let attempt = engine::Attempt {
            generation: &self.generation,
            target: &target,
            id: self.generation.id.clone(),
            resume: &self.resume,
            meter: self.context.usage.meter(self.generation.account.clone()),
        };
        let limits = &self.context.active.get().deployment.limits;
        let result = attempt.run(&self.context.pool, limits, &mut pieces).await;
        let generated = pieces.position - position;
        self.context.metrics.tokens.inc_by(generated.into());
        if result.is_err() {
            permit.finish(Outcome::Failed);
            return failed;
        }
        permit.finish(Outcome::Answered);
        Input::Finished { attempt: self.attempt, tokens: pieces.position }
    }
}
