mod actions;
mod engines;
mod holder;
mod plan;
mod store;
mod trainer;

use std::collections::BTreeMap;

use engines::{Engines, text_of};
use holder::Holder;
pub(crate) use plan::{Counts, Plan};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use store::Store;
use tamarackdock_rollout::{
    attempt::Attempt,
    policy::{Baseline, Hedged, Policy},
    request::{Fields, Request},
    slot::Slot,
    step::{Input, Step},
};
use tamarackdock_types::{ServiceName, TrainerName, clock::Instant, fence::Epoch, weight::Version};
use trainer::Trainer;

/// An event of the simulation, which happens at its scheduled time.
enum Event {
    HolderInput(usize, Input),
    Generate { holder: usize, attempt: Attempt, position: u32, length: u32, version: Version },
    LateCommit { revision: u64, value: String },
    NewHolder,
    Resume(usize),
    PublishWeights,
    Tick(usize),
    TrainerCalls,
}

/// A step with its holders, fake engines, store and trainer in simulated time.
pub(crate) struct Simulation {
    plan: Plan,
    rng: ChaCha8Rng,
    request: Request,
    now: u64,
    sequence: u64,
    events: BTreeMap<(u64, u64), Event>,
    holders: Vec<Option<Holder>>,
    store: Store,
    engines: Engines,
    trainer: Trainer,
    newest: Version,
    complete: bool,
    /// Slots of the finished attempts, in the order in which holders learned of them.
    finished: Vec<Slot>,
    pub(crate) counts: Counts,
}

impl Simulation {
    pub(crate) fn new(plan: Plan) -> Self {
        let fields = Fields {
            trainer: TrainerName::new("t").expect("valid"),
            step: 7,
            service: ServiceName::new("m").expect("valid"),
            prompts: (0..plan.groups).map(|group| format!("prompt {group}").into()).collect(),
            group_size: plan.group_size,
            max_tokens: plan.max_tokens,
            staleness_bound: plan.seed % 3,
        };
        let mut simulation = Self {
            plan,
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            request: Request::new(fields).expect("the request is valid"),
            now: 0,
            sequence: 0,
            events: BTreeMap::new(),
            holders: Vec::new(),
            store: Store { objects: BTreeMap::new(), rows: Vec::new() },
            engines: Engines::default(),
            trainer: Trainer::default(),
            newest: Version(5),
            complete: false,
            finished: Vec::new(),
            counts: Counts::default(),
        };
        simulation.new_holder();
        simulation.schedule(1, Event::TrainerCalls);
        simulation.schedule(3000, Event::PublishWeights);
        simulation
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + delay, self.sequence), event);
    }

    fn fault_occurs(&mut self) -> bool {
        self.now < self.plan.faults_end_ms
            && self.rng.random_range(0..100) < self.plan.fault_percent
    }

    fn reply(&mut self, holder: usize, input: Input) {
        let delay = self.rng.random_range(1..40);
        self.schedule(delay, Event::HolderInput(holder, input));
    }

    /// Runs until the step is complete and the trainer has every sample once.
    pub(crate) fn run(&mut self) {
        let mut number = 0;
        while !self.complete || !self.trainer.is_done(&self.request) {
            let ((at, _), event) = self.events.pop_first().expect("events never run out");
            self.now = at;
            assert!(at < self.plan.faults_end_ms + 600_000, "the step does not complete");
            self.dispatch(event);
            number += 1;
            if self.plan.interrupted_at.contains(&number) {
                self.interrupt();
            }
        }
        self.counts.holders = self.holders.len();
        self.counts.accepted_commits = self.store.rows.len();
        self.counts.end_ms = self.now;
        assert_eq!(self.trainer.slots.len(), self.request.samples() as usize);
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::HolderInput(holder, input) => self.handle_input(holder, input),
            Event::Generate { holder, attempt, position, length, version } => {
                self.generate(holder, attempt, position, length, version);
            }
            Event::LateCommit { revision, value } => {
                self.store.commit(&self.request, revision, value);
            }
            Event::NewHolder => self.new_holder(),
            Event::Resume(holder) => {
                let paused = self.holders[holder].as_mut().and_then(|h| h.paused.take());
                for input in paused.into_iter().flatten() {
                    self.handle_input(holder, input);
                }
            }
            Event::PublishWeights => self.publish_weights(),
            Event::Tick(holder) => {
                let idle = self.rng.random_range(0..=self.plan.max_running);
                self.handle_input(holder, Input::IdleCapacity(idle));
                self.handle_input(holder, Input::Tick);
                if self.holders[holder].is_some() {
                    self.schedule(200, Event::Tick(holder));
                }
            }
            Event::TrainerCalls => self.call_as_trainer(),
        }
    }

    /// Kills or pauses the newest holder, and schedules a takeover by a new one.
    fn interrupt(&mut self) {
        let last = self.holders.len() - 1;
        let Some(holder) = self.holders[last].as_mut().filter(|h| h.paused.is_none()) else {
            return;
        };
        if self.rng.random_range(0..2) == 0 {
            self.holders[last] = None;
        } else {
            holder.paused = Some(Vec::new());
            let pause = self.rng.random_range(100..4000);
            self.schedule(pause, Event::Resume(last));
        }
        let delay = self.rng.random_range(1..1500);
        self.schedule(delay, Event::NewHolder);
    }

    fn new_holder(&mut self) {
        let epoch = Epoch(self.holders.len() as u64 + 1);
        let policy: Box<dyn Policy> =
            if self.plan.hedged { Box::new(Hedged) } else { Box::new(Baseline) };
        let now = Instant::from_millis(self.now);
        let row = self.store.row();
        let step = Step::new(now, self.request.clone(), epoch, self.newest, policy, row.as_ref())
            .expect("the row decodes");
        let newest = self.newest;
        let running = BTreeMap::new();
        let duplicated = 0;
        let index = self.holders.len();
        self.holders.push(Some(Holder {
            step,
            newest,
            paused: None,
            running,
            duplicated,
            last_commit: None,
        }));
        self.handle_input(index, Input::AttemptLimit(self.plan.max_running));
        self.schedule(200, Event::Tick(index));
    }

    fn publish_weights(&mut self) {
        if self.now < self.plan.faults_end_ms {
            self.newest.0 += 1;
            for holder in 0..self.holders.len() {
                self.reply(holder, Input::WeightsChanged(self.newest));
            }
        }
        let delay = self.rng.random_range(500..6000);
        self.schedule(delay, Event::PublishWeights);
    }

    /// Reads at the cursor or again at an earlier one, and acknowledges late.
    fn call_as_trainer(&mut self) {
        let holder = self.rng.random_range(0..self.holders.len());
        let groups = self.trainer.cursor / self.plan.group_size;
        let rereads = self.fault_occurs();
        let cursor = if rereads {
            self.rng.random_range(0..=groups) * self.plan.group_size
        } else {
            self.trainer.cursor
        };
        self.reply(holder, Input::Read { cursor });
        if !self.fault_occurs() {
            let done = self.rng.random_range(self.trainer.acknowledged..=self.trainer.cursor);
            let all = self.trainer.is_done(&self.request);
            self.trainer.acknowledged = if all { self.trainer.cursor } else { done };
            let cursor = self.trainer.acknowledged;
            self.reply(holder, Input::Acknowledged { cursor });
        }
        let delay = self.rng.random_range(50..400);
        self.schedule(delay, Event::TrainerCalls);
    }

    /// Generates the next tokens of an attempt, which may fail.
    fn generate(
        &mut self,
        holder: usize,
        attempt: Attempt,
        position: u32,
        length: u32,
        previous: Version,
    ) {
        if self.engines.cancelled.contains(&attempt) && self.rng.random_range(0..3) > 0 {
            return;
        }
        if self.fault_occurs() {
            return self.reply(holder, Input::AttemptFailed { attempt });
        }
        let lag = self.rng.random_range(0..2);
        let version = previous.max(Version(self.newest.0 - lag));
        let count = self.rng.random_range(1..=4.min(length - position));
        let end = position + count;
        let tokens: Vec<u32> =
            (position..end).map(|at| self.engines.generate(version, at + 1 == length)).collect();
        let text = text_of(&tokens);
        let input = Input::TokensGenerated { attempt, position, tokens, text, version };
        if self.fault_occurs() {
            self.schedule(60, Event::HolderInput(holder, input.clone()));
        }
        if !self.fault_occurs() {
            self.schedule(5, Event::HolderInput(holder, input));
        }
        if end < length {
            let delay = self.rng.random_range(10..300);
            return self.schedule(
                delay,
                Event::Generate { holder, attempt, position: end, length, version },
            );
        }
        self.schedule(6, Event::HolderInput(holder, Input::Finished { attempt, tokens: length }));
        if self.fault_occurs() {
            self.schedule(
                500,
                Event::HolderInput(holder, Input::Finished { attempt, tokens: length }),
            );
        }
    }

    fn handle_input(&mut self, index: usize, input: Input) {
        let Some(holder) = self.holders[index].as_mut() else {
            return;
        };
        if let Some(queue) = holder.paused.as_mut() {
            return queue.push(input);
        }
        match &input {
            Input::WeightsChanged(version) => holder.newest = holder.newest.max(*version),
            Input::Finished { attempt, .. } => {
                self.finished.extend(holder.slot(*attempt));
                holder.end_attempt(*attempt);
            }
            Input::AttemptFailed { attempt } => {
                holder.end_attempt(*attempt);
            }
            Input::TokensGenerated { attempt, position, tokens, .. } => {
                holder.record_tokens(*attempt, *position, tokens.len());
            }
            _ => {}
        }
        let actions = holder.step.handle(Instant::from_millis(self.now), input);
        for action in actions {
            self.handle_action(index, action);
        }
        if let Some(holder) = &self.holders[index] {
            holder.check_duplicated();
        }
    }
}
