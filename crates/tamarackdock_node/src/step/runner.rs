use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use bytes::Bytes;
use futures_channel::{mpsc, oneshot};
use futures_util::{
    StreamExt,
    future::{Either, select},
    pin_mut,
};
use monoio::time::{Instant, sleep_until};
use slog::{Logger, error, info};
use tamarackdock_admit::Level;
use tamarackdock_platform::{
    Error,
    table::{Commit, Condition, Write},
};
use tamarackdock_rollout::{
    attempt::Attempt,
    request::Request,
    step::{Action, Input, Step},
};
use tamarackdock_types::{
    AccountName, TargetName,
    clock::{BootClock, Clock},
};
use tamarackdock_wire::flag::Flag;

use super::attempt;
use crate::{context::Context, engine::Generation, lease};

const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Samples from a position on, in the order of delivery.
#[derive(Debug, Clone)]
pub(super) struct Page {
    pub(super) samples: Vec<Bytes>,
    /// Position after the last sample.
    pub(super) next: u32,
}

/// A message to the runner of a step.
pub(super) enum Command {
    /// Read samples from a position on. The reply is `None` if the position is not valid.
    Read { cursor: u32, reply: oneshot::Sender<Option<Page>> },
    /// Acknowledge the samples before a position.
    Acknowledge { cursor: u32 },
}

/// The task of one step on the node that holds the trainer's lease.
pub(super) struct Runner {
    pub(super) context: Context,
    pub(super) lease: lease::Handle,
    /// Client account of the trainer, which is charged.
    pub(super) account: AccountName,
    pub(super) request: Request,
    pub(super) step: Step,
    /// Key of the manifest row.
    pub(super) row_key: String,
    pub(super) log: Logger,
    pub(super) inputs: mpsc::UnboundedSender<Input>,
    /// Reads that wait for samples, by their position.
    pub(super) waiting_reads: BTreeMap<u32, Vec<oneshot::Sender<Option<Page>>>>,
    /// Set to cancel an attempt.
    pub(super) cancel_flags: HashMap<Attempt, Flag>,
}

impl Drop for Runner {
    fn drop(&mut self) {
        self.cancel_flags.values().for_each(Flag::set);
    }
}

impl Runner {
    /// Runs the step until the sender of its commands is dropped, because the
    /// lease is lost or the step no longer stays in memory.
    pub(super) async fn run(
        mut self,
        mut commands: mpsc::UnboundedReceiver<Command>,
        mut inputs: mpsc::UnboundedReceiver<Input>,
    ) {
        let mut next_tick = Instant::now();
        loop {
            // Checked before each input, since a steady flow of inputs would starve the timer.
            if Instant::now() >= next_tick {
                next_tick = Instant::now() + TICK_INTERVAL;
                self.tick().await;
            }
            let command = commands.next();
            let input = inputs.next();
            let tick = sleep_until(next_tick);
            pin_mut!(command, input, tick);
            match select(command, select(input, tick)).await {
                Either::Left((None, _)) => return,
                Either::Left((Some(command), _)) => self.handle_command(command),
                Either::Right((Either::Left((Some(input), _)), _)) => self.handle(input),
                Either::Right((Either::Left((None, _)) | Either::Right(_), _)) => {}
            }
        }
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Read { cursor, reply } => {
                self.waiting_reads.entry(cursor).or_default().push(reply);
                let newest = self.context.weights.get(&self.request.fields().service);
                self.handle(Input::WeightsChanged(newest));
                self.handle(Input::Read { cursor });
            }
            Command::Acknowledge { cursor } => self.handle(Input::Acknowledged { cursor }),
        }
    }

    async fn tick(&mut self) {
        let service = &self.request.fields().service;
        let newest = self.context.weights.get(service);
        let capacity = self.context.router.capacity(service.clone()).await;
        let active = self.context.active.get();
        let trainers = active.deployment.trainers.iter().filter(|t| t.service == *service).count();
        self.handle(Input::WeightsChanged(newest));
        self.handle(Input::AttemptLimit(capacity.total.div_ceil(trainers.max(1))));
        self.handle(Input::IdleCapacity(capacity.free));
        self.handle(Input::Tick);
    }

    fn handle(&mut self, input: Input) {
        for action in self.step.handle(BootClock.now(), input) {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Start { attempt, slot, prompt, resume, avoid, .. } => {
                let seed = slot.group * self.request.fields().group_size + slot.index;
                self.start_attempt(attempt, self.generation(attempt, &prompt, seed), resume, avoid);
            }
            Action::Cancel { attempt } => {
                if let Some(flag) = self.cancel_flags.remove(&attempt) {
                    flag.set();
                }
            }
            Action::StoreObject { name, bytes } => self.store_object(name, bytes),
            Action::LoadObject { name } => self.load_object(name),
            Action::CommitManifest { operation, revision, value } => {
                self.commit_manifest(operation, revision, value);
            }
            Action::ReadManifest => self.read_manifest(),
            Action::Deliver { cursor, next, samples } => {
                self.reply(cursor, Some(&Page { samples, next }));
            }
            Action::Reject { cursor } => self.reply(cursor, None),
            Action::Wait { .. } => {}
            Action::Superseded => {
                info!(self.log, "another holder took over"; "step" => &self.row_key);
            }
            Action::Corrupt(error) => {
                error!(
                    self.log, "manifest can't be read";
                    "step" => &self.row_key, "error" => %error
                );
            }
            Action::Complete => info!(self.log, "step complete"; "step" => &self.row_key),
        }
    }

    fn reply(&mut self, cursor: u32, page: Option<&Page>) {
        for reply in self.waiting_reads.remove(&cursor).into_iter().flatten() {
            let _ = reply.send(page.cloned());
        }
    }

    /// Returns the generation of an attempt. All attempts of a slot use the same
    /// seed, so that engines that sample by it generate the same text.
    fn generation(&self, attempt: Attempt, prompt: &str, seed: u32) -> Generation {
        let fields = self.request.fields();
        Generation {
            id: format!("{}-{}-{attempt}", fields.trainer, fields.step),
            service: fields.service.clone(),
            account: Some(self.account.clone()),
            prompt: prompt.to_owned(),
            max_tokens: fields.max_tokens,
            level: Level::Batch,
            idempotent: true,
            extra: serde_json::Map::from_iter([("seed".to_owned(), seed.into())]),
        }
    }

    fn start_attempt(
        &mut self,
        attempt: Attempt,
        generation: Generation,
        resume: Vec<u32>,
        avoid: Option<TargetName>,
    ) {
        let cancelled = Flag::new();
        self.cancel_flags.retain(|_, flag| !flag.is_set());
        self.cancel_flags.insert(attempt, cancelled.clone());
        let task = attempt::AttemptTask {
            context: self.context.clone(),
            attempt,
            generation,
            resume,
            avoid,
            inputs: self.inputs.clone(),
            cancelled,
        };
        monoio::spawn(task.run());
    }

    fn store_object(&self, name: String, bytes: Bytes) {
        let (objects, inputs) = (self.context.platform.objects.clone(), self.inputs.clone());
        monoio::spawn(async move {
            let input = match objects.put(name.clone(), bytes).await {
                Ok(()) => Input::ObjectStored(name),
                Err(_) => Input::ObjectFailed(name),
            };
            let _ = inputs.unbounded_send(input);
        });
    }

    fn load_object(&self, name: String) {
        let (objects, inputs) = (self.context.platform.objects.clone(), self.inputs.clone());
        monoio::spawn(async move {
            let input = match objects.get(name.clone()).await {
                Ok(Some(bytes)) => Input::ObjectRead { name, bytes },
                Ok(None) | Err(_) => Input::ObjectReadFailed(name),
            };
            let _ = inputs.unbounded_send(input);
        });
    }

    /// Commits the manifest on the condition that no other node has taken the lease.
    fn commit_manifest(&self, operation: String, revision: u64, value: String) {
        let inputs = self.inputs.clone();
        let (Some(_), Some(fence)) = (self.lease.permit(), self.lease.fence()) else {
            let _ = inputs.unbounded_send(Input::ManifestUnknown { operation });
            return;
        };
        let table = self.context.platform.table.clone();
        let commit = Commit {
            operation: operation.clone(),
            conditions: vec![Condition { key: self.row_key.clone(), revision }, fence],
            writes: vec![Write { key: self.row_key.clone(), value: Some(value) }],
        };
        monoio::spawn(async move {
            let input = match table.commit(commit).await {
                Ok(revision) => Input::ManifestCommitted { operation, revision },
                Err(Error::Conflict { .. }) => Input::ManifestConflict { operation },
                Err(_) => Input::ManifestUnknown { operation },
            };
            let _ = inputs.unbounded_send(input);
        });
    }

    fn read_manifest(&self) {
        let (table, inputs) = (self.context.platform.table.clone(), self.inputs.clone());
        let key = self.row_key.clone();
        monoio::spawn(async move {
            let input = match table.read(vec![key.clone()]).await {
                Ok(mut rows) => {
                    let row = rows.remove(&key);
                    let revision = row.as_ref().map_or(0, |row| row.revision);
                    Input::ManifestRead { revision, value: row.map(|row| row.value) }
                }
                Err(_) => Input::ManifestReadFailed,
            };
            let _ = inputs.unbounded_send(input);
        });
    }
}
