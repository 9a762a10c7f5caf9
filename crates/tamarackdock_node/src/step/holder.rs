use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

use bytes::Bytes;
use futures_channel::{mpsc, oneshot};
use futures_util::StreamExt;
use slog::{Logger, info};
use tamarackdock_config::settings::Stragglers;
use tamarackdock_platform::Error;
use tamarackdock_rollout::{
    policy::{Baseline, Hedged, Policy},
    request::{Fields, Request},
    step::{Row, Step},
};
use tamarackdock_types::{
    TrainerName,
    clock::{BootClock, Clock},
    refusal::{Code, Refusal},
};

use super::{
    call::{Call, Kind},
    runner::{Command, Page, Runner},
};
use crate::{
    context::Context,
    lease::{self, Event},
    peer::StepAnswer,
};

/// Number of steps that stay in memory. Earlier ones are read back from the platform on demand.
const MAX_STEPS_IN_MEMORY: usize = 3;

/// A step whose runner has been started.
#[derive(Clone)]
struct RunningStep {
    request: Request,
    commands: mpsc::UnboundedSender<Command>,
}

/// The steps of one trainer. They run while the node holds the trainer's lease.
pub(super) struct Holder {
    context: Context,
    trainer: TrainerName,
    log: Logger,
    pub(super) lease: lease::Handle,
    steps: RefCell<BTreeMap<u64, RunningStep>>,
}

impl Holder {
    /// Creates the state of a trainer and the task of its lease.
    pub(super) fn spawn(context: &Context, trainer: &TrainerName, log: &Logger) -> Rc<Self> {
        let (lease, events) = lease::Handle::spawn(context, &format!("step/{trainer}"));
        let holder = Rc::new(Self {
            context: context.clone(),
            trainer: trainer.clone(),
            log: log.clone(),
            lease,
            steps: RefCell::default(),
        });
        monoio::spawn(watch_lease(Rc::downgrade(&holder), events));
        holder
    }

    /// Answers a call as the holder.
    pub(super) async fn answer(&self, call: Call) -> Result<StepAnswer, Refusal> {
        match call.kind {
            Kind::Open(open) => {
                let active = self.context.active.get();
                let trainer = active.trainer(self.trainer.as_str()).ok_or_else(lease_moved)?;
                let running = self.open(open.into_request(trainer)?).await?;
                Ok(StepAnswer::opened(&running.request))
            }
            Kind::Read { cursor, wait } => {
                let running = self.find(call.step).await?;
                let (reply, answer) = oneshot::channel();
                let _ = running.commands.unbounded_send(Command::Read { cursor, reply });
                match monoio::time::timeout(wait, answer).await {
                    Ok(Ok(Some(page))) => Ok(page_answer(&running.request, &page)),
                    Ok(Ok(None)) => Err(Refusal::not_run(
                        Code::BadRequest,
                        "`cursor` is not a position of an earlier read; use its `next_cursor`",
                    )),
                    Ok(Err(_)) => Err(lease_moved()),
                    Err(_) => Ok(StepAnswer::samples(&[], cursor, false)),
                }
            }
            Kind::Acknowledge { cursor } => {
                let running = self.find(call.step).await?;
                let _ = running.commands.unbounded_send(Command::Acknowledge { cursor });
                Ok(StepAnswer::acknowledged(cursor))
            }
        }
    }

    /// Returns the state as JSON, for operators.
    pub(super) fn dump(&self) -> serde_json::Value {
        let steps: Vec<u64> = self.steps.borrow().keys().copied().collect();
        serde_json::json!({
            "trainer": self.trainer, "epoch": self.lease.permit(), "steps": steps,
        })
    }

    /// Stores the request, so that the next holder finds it, and starts the step.
    async fn open(&self, request: Request) -> Result<RunningStep, Refusal> {
        let fields = request.fields();
        let known = self.steps.borrow().get(&fields.step).cloned();
        match known {
            Some(running) if running.request == request => return Ok(running),
            Some(_) => return Err(conflict()),
            None => {}
        }
        let bytes = serde_json::to_vec(&request)
            .map_err(|error| Refusal::not_run(Code::Internal, error.to_string()))?;
        let name = self.request_object(fields.step);
        match self.context.platform.objects.put(name, bytes.into()).await {
            Ok(()) => self.resume(request).await,
            Err(Error::Conflict { .. }) => Err(conflict()),
            Err(error) => Err(unavailable(&error)),
        }
    }

    async fn find(&self, step: u64) -> Result<RunningStep, Refusal> {
        let known = self.steps.borrow().get(&step).cloned();
        if let Some(running) = known {
            return Ok(running);
        }
        let stored = self.context.platform.objects.get(self.request_object(step)).await;
        let stored = stored.map_err(|error| unavailable(&error))?;
        let bytes: Bytes = stored.ok_or_else(|| {
            Refusal::not_run(Code::NotFound, "no such step; open it with `POST /v1/steps`")
        })?;
        let request = serde_json::from_slice(&bytes)
            .map_err(|error| Refusal::not_run(Code::Internal, error.to_string()))?;
        self.resume(request).await
    }

    /// Starts the runner of a step from its manifest row.
    async fn resume(&self, request: Request) -> Result<RunningStep, Refusal> {
        let Fields { step: number, service, .. } = request.fields().clone();
        let key = format!("step/{}/{number}", self.trainer);
        let rows = self.context.platform.table.read(vec![key.clone()]).await;
        let mut rows = rows.map_err(|error| unavailable(&error))?;
        let row = rows.remove(&key);
        let row = row.map(|row| Row { revision: row.revision, value: row.value });
        let epoch = self.lease.permit().ok_or_else(lease_moved)?;
        // Another call may have started the step while the row was read.
        if let Some(running) = self.steps.borrow().get(&number) {
            return Ok(running.clone());
        }
        let newest = self.context.weights.get(&service);
        let now = BootClock.now();
        let policy: Box<dyn Policy> = match self.context.settings.policy.stragglers {
            Stragglers::Hedged => Box::new(Hedged),
            Stragglers::Baseline => Box::new(Baseline),
        };
        let step = Step::new(now, request.clone(), epoch, newest, policy, row.as_ref())
            .map_err(|error| Refusal::not_run(Code::Internal, error.to_string()))?;
        let (commands, command_receiver) = mpsc::unbounded();
        let (inputs, input_receiver) = mpsc::unbounded();
        let active = self.context.active.get();
        let trainer = active.trainer(self.trainer.as_str()).ok_or_else(lease_moved)?;
        let runner = Runner {
            account: trainer.account.clone(),
            context: self.context.clone(),
            lease: self.lease.clone(),
            request: request.clone(),
            step,
            row_key: key,
            log: self.log.clone(),
            inputs,
            waiting_reads: BTreeMap::new(),
            cancel_flags: std::collections::HashMap::new(),
        };
        monoio::spawn(runner.run(command_receiver, input_receiver));
        info!(self.log, "step started"; "trainer" => %self.trainer, "step" => number);
        let running = RunningStep { request, commands };
        let mut steps = self.steps.borrow_mut();
        steps.insert(number, running.clone());
        while steps.len() > MAX_STEPS_IN_MEMORY {
            steps.pop_first();
        }
        Ok(running)
    }

    fn request_object(&self, step: u64) -> String {
        format!("steps/{}/{step}/request", self.trainer)
    }
}

/// Ends all steps when the lease is lost, since another node continues them.
async fn watch_lease(holder: std::rc::Weak<Holder>, mut events: mpsc::UnboundedReceiver<Event>) {
    while let Some(event) = events.next().await {
        let Some(holder) = holder.upgrade() else {
            return;
        };
        match event {
            Event::Acquired(epoch) => {
                info!(holder.log, "lease acquired"; "trainer" => %holder.trainer, "epoch" => %epoch);
            }
            Event::Lost => {
                info!(holder.log, "lease lost"; "trainer" => %holder.trainer);
                holder.steps.borrow_mut().clear();
            }
        }
    }
}

fn page_answer(request: &Request, page: &Page) -> StepAnswer {
    StepAnswer::samples(&page.samples, page.next, page.next == request.samples())
}

fn conflict() -> Refusal {
    let message = "the step was opened before with a different request; use a new step number";
    Refusal::not_run(Code::Conflict, message)
}

fn unavailable(error: &Error) -> Refusal {
    let message = format!("the platform's store does not answer: {error}");
    Refusal::not_run(Code::StoreUnavailable, message).retry_after(std::time::Duration::from_secs(1))
}

/// Returns the refusal of a call if this node lost the trainer's lease, no holder could be found
/// in time, or the trainer is not in the active configuration.
pub(super) fn lease_moved() -> Refusal {
    let message = "another node takes over the trainer; retry";
    Refusal::not_run(Code::NoTarget, message).retry_after(std::time::Duration::from_secs(1))
}
