//! Simulates steps of a trainer on targets of two speeds, of which one turns slow for a while,
//! with the decisions of `tamarackdock_rollout::finish` and with those of deployments without
//! them. Intervals between events are measured by a host that is out of processor time now and
//! then.

use std::{collections::VecDeque, ops::Range};

use rand::Rng as _;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng as _};
use tamarackdock_rollout::finish::{self, Group, Run, RunningStep, Speed, Target, Waiting};

use crate::{
    batch::{
        migrate,
        placement::{PlacementTarget, WaitingItem, assign_items},
    },
    target::Software,
};

const SEEDS: u64 = 20;
const STEPS: usize = 3;
/// Number of steps at the start that are compared apart: no target was measured before them.
const FIRST_MEASURED: usize = 1;
/// Step during which a target is slow.
const SLOW_STEP: usize = 1;
const SLOW_MS: Range<f64> = 800.0..4_000.0;
const SLOW_FACTOR: f64 = 3.0;
const TARGETS: usize = 44;
const SLOTS: u32 = 6;
const ITEMS: usize = 208;
const GROUP_SIZE: usize = 8;
const WANTED: usize = 24;
/// Events of an item: lognormal, with 8% of the items five times as long.
const MEAN_EVENTS: f64 = 14.0;
const SPREAD: f64 = 0.6;
const MAX_EVENTS: f64 = 128.0;
/// Milliseconds per event on a target of the usual speed.
const EVENT_MS: f64 = 38.0;
const SLOWDOWN_PER_RUN: f64 = 0.005;
const TICK_MS: f64 = 5.0;
/// Time after the start of a step at which its results are due.
const DUE_MS: f64 = 7_500.0;
const CHECK_MS: f64 = 200.0;
/// Weight of a sample in the times per event of the baseline, as in `balance`.
const BASELINE_WEIGHT: f64 = 0.2;

#[derive(Clone, Copy, PartialEq)]
enum Policy {
    Finish,
    Baseline,
}

#[derive(Clone, Copy, Default)]
struct ModelTarget {
    event_ms: f64,
    speed: Speed,
    mean_ms: Option<f64>,
}

#[derive(Clone, Copy, Default)]
struct ModelItem {
    events: f64,
    estimate: f64,
    done: f64,
    target: Option<usize>,
    /// Work before the first event of the run, in milliseconds.
    reading_ms: f64,
    last_event_ms: Option<f64>,
    checked_ms: f64,
    moves: u32,
}

impl ModelItem {
    fn received(&self) -> f64 {
        self.done.floor()
    }

    fn is_complete(&self) -> bool {
        self.done >= self.events
    }

    fn is_running(&self) -> bool {
        self.target.is_some() && !self.is_complete()
    }

    /// Returns the estimated number of remaining events, as jobs estimate it.
    fn remaining(&self) -> f64 {
        let left = self.estimate - self.received();
        if left >= 0.0 { left.max(1.0) } else { (self.received() / 2.0).max(1.0) }
    }
}

#[derive(Default)]
struct Outcome {
    ends_ms: Vec<f64>,
    moves: u32,
}

struct Model {
    policy: Policy,
    rng: ChaCha8Rng,
    targets: Vec<ModelTarget>,
    items: Vec<ModelItem>,
    now_ms: f64,
    slow_target: usize,
    step: usize,
    /// Until when the host is out of processor time.
    paused_until_ms: f64,
    /// Items of the events that have not been read.
    unread: VecDeque<usize>,
    moves: u32,
    running: Vec<u32>,
    planned_ms: f64,
    planned: Vec<usize>,
}

fn normal(rng: &mut ChaCha8Rng) -> f64 {
    (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0
}

fn items(rng: &mut ChaCha8Rng) -> Vec<ModelItem> {
    let mut item = || {
        let tail = if rng.random::<f64>() < 0.08 { 5.0 } else { 1.0 };
        let body = MEAN_EVENTS / 1.32 * (SPREAD * normal(rng) - SPREAD * SPREAD / 2.0).exp();
        let events = (body * tail).round().clamp(1.0, MAX_EVENTS);
        let estimate = (events * (0.5 * normal(rng)).exp()).round();
        ModelItem { events, estimate, ..ModelItem::default() }
    };
    (0..ITEMS).map(|_| item()).collect()
}

impl Model {
    fn new(policy: Policy, seed: u64, targets: usize) -> Self {
        let target = |index: usize| ModelTarget {
            event_ms: EVENT_MS / if index.is_multiple_of(4) { 0.55 } else { 1.2 },
            ..ModelTarget::default()
        };
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        Self {
            policy,
            slow_target: rng.random_range(0..targets / 4) * 4 + 1,
            rng,
            targets: (0..targets).map(target).collect(),
            items: Vec::new(),
            now_ms: 0.0,
            step: 0,
            paused_until_ms: 0.0,
            unread: VecDeque::new(),
            moves: 0,
            running: Vec::new(),
            planned_ms: 0.0,
            planned: Vec::new(),
        }
    }

    fn run(mut self) -> Outcome {
        let mut ends_ms = Vec::new();
        for step in 0..STEPS {
            self.step = step;
            // Drawn apart from the pauses, so that both policies get the same items.
            let mut rng = ChaCha8Rng::seed_from_u64(self.rng.get_seed()[0].into());
            rng.set_stream(step as u64 + 1);
            self.items = items(&mut rng);
            self.now_ms = 0.0;
            self.paused_until_ms = 0.0;
            self.unread.clear();
            self.planned_ms = 0.0;
            while self.complete_groups() < WANTED {
                self.count_running();
                self.start_items();
                self.advance();
                self.read_events();
            }
            ends_ms.push(self.now_ms);
        }
        Outcome { ends_ms, moves: self.moves }
    }

    fn complete_groups(&self) -> usize {
        let groups = self.items.chunks(GROUP_SIZE);
        groups.filter(|group| group.iter().all(ModelItem::is_complete)).count()
    }

    fn running(&self, target: usize) -> u32 {
        self.running[target]
    }

    fn count_running(&mut self) {
        self.running = vec![0; self.targets.len()];
        for target in
            self.items.iter().filter(|item| item.is_running()).filter_map(|item| item.target)
        {
            self.running[target] += 1;
        }
    }

    /// Lets the targets work for a tick.
    fn advance(&mut self) {
        self.count_running();
        let running = &self.running;
        let is_slow = self.step == SLOW_STEP && SLOW_MS.contains(&self.now_ms);
        self.now_ms += TICK_MS;
        for (index, item) in self.items.iter_mut().enumerate() {
            let Some(target) = item.target.filter(|_| !item.is_complete()) else { continue };
            let slow = if is_slow && target == self.slow_target { SLOW_FACTOR } else { 1.0 };
            let shared = 1.0 + SLOWDOWN_PER_RUN * f64::from(running[target] - 1);
            let before = item.received();
            let read_ms = item.reading_ms.min(TICK_MS);
            item.reading_ms -= read_ms;
            item.done += (TICK_MS - read_ms) / (self.targets[target].event_ms * slow * shared);
            if item.received() > before {
                self.unread.push_back(index);
            }
        }
        if self.rng.random::<f64>() < 0.008 {
            self.paused_until_ms = self.now_ms + 40.0 + 160.0 * self.rng.random::<f64>();
        }
    }

    /// Reads the events that have arrived, measures, and moves runs.
    fn read_events(&mut self) {
        if self.now_ms < self.paused_until_ms {
            return;
        }
        while let Some(index) = self.unread.pop_front() {
            let Some(target) = self.items[index].target else { continue };
            let running = self.running(target);
            if let Some(last_ms) = self.items[index].last_event_ms.replace(self.now_ms) {
                let interval_ms = self.now_ms - last_ms;
                let known = &mut self.targets[target];
                known.speed.record(interval_ms, running);
                let mean_ms = known.mean_ms.unwrap_or(interval_ms);
                known.mean_ms = Some(mean_ms + BASELINE_WEIGHT * (interval_ms - mean_ms));
            }
            if self.items[index].is_complete()
                || self.now_ms - self.items[index].checked_ms <= CHECK_MS
            {
                continue;
            }
            self.items[index].checked_ms = self.now_ms;
            if self.should_move(index, target) {
                self.moves += 1;
                self.items[index].moves += 1;
                self.items[index].target = None;
                self.running[target] -= 1;
                self.items[index].last_event_ms = None;
                // The event in progress is lost.
                self.items[index].done = self.items[index].received();
            }
        }
    }

    fn should_move(&mut self, index: usize, target: usize) -> bool {
        let item = self.items[index];
        if self.policy == Policy::Finish {
            if self.now_ms - self.planned_ms >= CHECK_MS {
                let (step, runs) = self.running_step();
                let moves = finish::plan(&step, &mut self.finish_targets(), |_, _| true);
                self.planned = moves.iter().map(|planned| runs[planned.run]).collect();
                self.planned_ms = self.now_ms;
            }
            return self.planned.contains(&index);
        }
        let others = (0..self.targets.len()).filter(|other| self.running(*other) < SLOTS);
        let median =
            migrate::median(others.filter_map(|other| self.targets[other].mean_ms).collect());
        let (Some(median), Some(mean_ms)) = (median, self.targets[target].mean_ms) else {
            return false;
        };
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let remaining = item.remaining() as u64;
        migrate::should_move(mean_ms, median, remaining, item.moves)
    }

    fn finish_targets(&self) -> Vec<Target> {
        let known = self.targets.iter().filter_map(|target| target.speed.event_ms());
        let usual_ms = finish::usual_ms(known);
        let target = |(index, target): (usize, &ModelTarget)| Target {
            event_ms: target.speed.event_ms().unwrap_or(usual_ms),
            samples: target.speed.samples(),
            running: self.running(index),
            open: SLOTS - self.running(index),
            is_local: true,
            decisive: 0,
        };
        self.targets.iter().enumerate().map(target).collect()
    }

    fn running_step(&self) -> (RunningStep, Vec<usize>) {
        let targets = self.finish_targets();
        let fastest = targets.iter().map(|target| target.event_ms).min_by(f64::total_cmp).unwrap();
        let mut step = RunningStep {
            groups: vec![Group::default(); ITEMS / GROUP_SIZE],
            wanted: WANTED,
            due_ms: Some((DUE_MS - self.now_ms).max(0.0)),
            runs: Vec::new(),
        };
        let mut indexes = Vec::new();
        for (index, item) in self.items.iter().enumerate().filter(|(_, item)| !item.is_complete()) {
            let group = index / GROUP_SIZE;
            let events = item.remaining();
            match item.target {
                Some(target) => {
                    let read_tokens = item.received() * 50.0;
                    step.runs.push(Run { group, target, events, read_tokens, moves: item.moves });
                    indexes.push(index);
                }
                None => step.groups[group].end_ms = step.groups[group].end_ms.max(events * fastest),
            }
        }
        (step, indexes)
    }

    fn start_items(&mut self) {
        if self.now_ms < self.paused_until_ms {
            return;
        }
        let waiting = self.items.iter().enumerate().filter(|(_, item)| item.target.is_none());
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let mut waiting: Vec<WaitingItem> = waiting
            .map(|(index, item)| WaitingItem {
                job: 0,
                item: index,
                carried: false,
                remaining_tokens: (item.remaining() * 50.0) as u64,
                made_by: None,
                refusals: 0,
                is_unfit: false,
                is_bulk: false,
            })
            .collect();
        if waiting.is_empty() {
            return;
        }
        let placed: Vec<(usize, usize)> = match self.policy {
            Policy::Finish => {
                waiting.sort_by_key(WaitingItem::order);
                let mut targets = self.finish_targets();
                let step_end_ms = self.running_step().0.mark_decisive(&mut targets);
                let items: Vec<Waiting> = waiting
                    .iter()
                    .map(|item| Waiting {
                        events: self.items[item.item].remaining(),
                        read_tokens: self.items[item.item].received() * 50.0,
                        step_end_ms,
                    })
                    .collect();
                let chosen = finish::assign(&items, &mut targets, |_, _| true);
                let placed = waiting.iter().zip(chosen);
                placed.filter_map(|(item, target)| Some((item.item, target?))).collect()
            }
            Policy::Baseline => {
                let mut targets: Vec<PlacementTarget> =
                    (0..self.targets.len()).map(|index| self.placement_target(index)).collect();
                let placed = assign_items(waiting, &mut targets).placed;
                placed.into_iter().map(|(item, target)| (item.item, target)).collect()
            }
        };
        for (index, target) in placed {
            let item = &mut self.items[index];
            item.target = Some(target);
            item.reading_ms = 10.0 + item.received() * 50.0 * 0.003;
            item.checked_ms = self.now_ms;
        }
    }

    fn placement_target(&self, index: usize) -> PlacementTarget {
        PlacementTarget {
            id: format!("t{index}").as_str().into(),
            software: Software { service: "llm".into(), version: "v1".into() },
            running: self.running(index),
            slots: SLOTS,
            event_interval_ms: self.targets[index].mean_ms,
            samples: 0,
            allowed_starts: u32::MAX,
            is_avoided: false,
            refuses: false,
            is_local: true,
            fitting_jobs: vec![0],
        }
    }
}

/// Mean and latest end of the steps, and the number of moves, over all seeds.
#[derive(Debug, PartialEq)]
struct Summary {
    mean_ms: f64,
    worst_ms: f64,
    moves: u32,
}

#[allow(clippy::cast_precision_loss)]
fn summarize(policy: Policy, targets: usize, steps: Range<usize>) -> Summary {
    let outcomes: Vec<Outcome> =
        (0..SEEDS).map(|seed| Model::new(policy, seed, targets).run()).collect();
    let ends = outcomes.iter().flat_map(|outcome| outcome.ends_ms[steps.clone()].to_vec());
    let ends: Vec<f64> = ends.collect();
    let summary = Summary {
        mean_ms: ends.iter().sum::<f64>() / ends.len() as f64,
        worst_ms: ends.iter().copied().fold(0.0, f64::max),
        moves: outcomes.iter().map(|outcome| outcome.moves).sum(),
    };
    println!("{targets} targets, steps {steps:?}, seeds 0 to {}: {summary:.0?}", SEEDS - 1);
    summary
}

/// Guards against steps that end later, or many more new connections. The model has a target
/// that turns slow while it holds items that decide when the step ends.
#[test]
fn steps_end_no_later_with_far_fewer_moves() {
    let baseline = summarize(Policy::Baseline, TARGETS, FIRST_MEASURED..STEPS);
    let finish = summarize(Policy::Finish, TARGETS, FIRST_MEASURED..STEPS);
    assert!(finish.mean_ms <= baseline.mean_ms, "{finish:.0?} against {baseline:.0?}");
    assert!(finish.worst_ms <= baseline.worst_ms, "{finish:.0?} against {baseline:.0?}");
    assert!(finish.worst_ms <= DUE_MS, "{finish:.0?}");
    assert!(finish.moves * 4 <= baseline.moves, "{finish:.0?} against {baseline:.0?}");
}

/// Guards against a first step, before which no target was measured, that ends later.
#[test]
fn the_first_step_ends_no_later() {
    let baseline = summarize(Policy::Baseline, TARGETS, 0..FIRST_MEASURED);
    let finish = summarize(Policy::Finish, TARGETS, 0..FIRST_MEASURED);
    assert!(finish.mean_ms <= baseline.mean_ms, "{finish:.0?} against {baseline:.0?}");
}
