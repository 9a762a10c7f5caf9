//! Applies the decisions of [`tamarackdock_rollout::finish`] and [`tamarackdock_rollout::share`] to
//! the jobs that this node runs.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use tamarackdock_rollout::{
    finish::{self, Group, Move, Run, RunningStep, Target, Waiting},
    share,
};
use tamarackdock_types::clock::Instant;

use super::{
    job::{Job, JobItem, Phase, TOKENS_PER_EVENT},
    lifetime::JobRoute,
    placement::{self, Assignment, PlacementTarget, Usable, WaitingItem},
    schedule,
};
use crate::{
    deployment::{Deployment, Name},
    node::Node,
    target::Registration,
};

/// Time for which a plan of moves holds. Runs check it between their events, and a slow target
/// is seen by its events only.
const PLAN_LIFETIME: Duration = Duration::from_millis(200);

/// The runs that should move, by job and item.
#[derive(Debug, Default)]
pub(crate) struct MovePlan {
    made: Instant,
    moves: BTreeMap<(Name, usize), PlannedMove>,
}

/// A run that should move, with the inputs of the decision.
#[derive(Debug, Clone)]
struct PlannedMove {
    to: Name,
    decision: Move,
    events: f64,
    from_speed: Target,
    to_speed: Target,
}

/// Returns whether a run should move to another target. The plan for all runs is made at most
/// once in its lifetime.
pub(crate) fn should_move(
    node: &Node,
    job: &Job,
    index: usize,
    target: &Registration,
    now: Instant,
) -> bool {
    let mut plan = node.jobs.moves.borrow_mut();
    if now.since(plan.made) >= PLAN_LIFETIME {
        *plan = make_plan(node, now);
    }
    let Some(planned) = plan.moves.remove(&(job.id.clone(), index)) else { return false };
    let PlannedMove { to, decision, events, from_speed, to_speed } = planned;
    let reason = match decision.reason {
        finish::Reason::Step => "step",
        finish::Reason::Due => "due",
    };
    node.metrics.moves.with_label_values(&[reason]).inc();
    node.metrics.move_gain_seconds.observe(decision.gain_ms / 1000.0);
    slog::info!(node.log, "item: moved"; "job" => &*job.id,
        "item" => &*job.items[index].request.id, "target" => &*target.id, "to" => &*to,
        "reason" => reason, "gain_ms" => decision.gain_ms.round(),
        "end_ms" => decision.end_ms.round(), "moved_end_ms" => decision.moved_end_ms.round(),
        "step_end_ms" => decision.step_end_ms.round(), "events" => events,
        "event_ms" => from_speed.event_ms, "samples" => from_speed.samples,
        "running" => from_speed.running, "to_event_ms" => to_speed.event_ms,
        "to_samples" => to_speed.samples, "to_running" => to_speed.running,
        "plan_age_ms" => now.since(plan.made).as_millis());
    true
}

/// Decides which runs of this node's jobs move.
fn make_plan(node: &Node, now: Instant) -> MovePlan {
    let jobs = node.jobs.open_jobs();
    let (placement_targets, _) = schedule::placement_targets(node, &jobs, now);
    let deployment = node.view.deployment();
    let mut targets = finish_targets(&placement_targets);
    let mut moves = BTreeMap::new();
    for (number, job) in jobs.iter().enumerate() {
        let job = job.borrow();
        let (mut step, items) = running_step(&job, number, &placement_targets, &targets);
        step.due_ms = match JobRoute::of(&job.head, &deployment) {
            JobRoute::Found(route) => Some(millis_left(job.accepted + route.due, now)),
            JobRoute::Unknown | JobRoute::Gone => None,
        };
        let before = targets.clone();
        let fits = |run: usize, target: usize| {
            let from = &placement_targets[step.runs[run].target];
            let to = &placement_targets[target];
            to.fitting_jobs.contains(&number) && to.software == from.software
        };
        for decision in finish::plan(&step, &mut targets, fits) {
            let run = step.runs[decision.run];
            let planned = PlannedMove {
                to: placement_targets[decision.to].id.clone(),
                decision,
                events: run.events,
                from_speed: before[run.target],
                to_speed: before[decision.to],
            };
            moves.insert((job.id.clone(), items[decision.run]), planned);
        }
    }
    MovePlan { made: now, moves }
}

/// Returns the items that start now. Updates the targets accordingly.
pub(crate) fn assign_items(
    node: &Node,
    jobs: &[Rc<RefCell<Job>>],
    waiting: Vec<WaitingItem>,
    targets: &mut [PlacementTarget],
    now: Instant,
) -> Assignment {
    let deployment = node.view.deployment();
    let mut finish_targets = finish_targets(targets);
    let mut ends_ms = Vec::new();
    let mut steps: Vec<share::Step> = Vec::new();
    for (number, job) in jobs.iter().enumerate() {
        let mut job = job.borrow_mut();
        let (step, _) = running_step(&job, number, targets, &finish_targets);
        let step_end_ms = step.mark_decisive(&mut finish_targets);
        ends_ms.push(step_end_ms);
        let is_same = |other: &Rc<RefCell<Job>>| is_same_trainer(&other.borrow(), &job);
        let trainer = jobs[..number].iter().position(is_same).unwrap_or(number);
        let rate = rate(number, targets, &finish_targets);
        let (step, inputs) = shared_step(&job, &deployment, trainer, step_end_ms, rate, now);
        if step.is_late && !job.was_late {
            job.was_late = true;
            slog::info!(node.log, "job: due time can't be met, other jobs come first";
                "job" => &*job.id, "rank" => step.rank, "due_ms" => inputs.due_ms.round(),
                "end_ms" => step_end_ms.round(), "work" => inputs.work.round(),
                "work_per_s" => (rate * 1000.0).round(), "received" => step.received.round(),
                "needed" => step.needed.round());
        }
        steps.push(step);
    }
    let mut waiting = in_order(&steps, waiting);
    waiting.sort_by_key(WaitingItem::goes_last);
    placement::with_probes(waiting, targets, |waiting, targets, usable| {
        assign_usable(jobs, &ends_ms, waiting, targets, &mut finish_targets, usable)
    })
}

/// Assigns items, in order, to the usable ones of the targets. Updates the targets accordingly.
fn assign_usable(
    jobs: &[Rc<RefCell<Job>>],
    ends_ms: &[f64],
    waiting: Vec<WaitingItem>,
    targets: &mut [PlacementTarget],
    finish_targets: &mut [Target],
    usable: Usable,
) -> Assignment {
    let items: Vec<Waiting> = waiting
        .iter()
        .map(|item| {
            let job = jobs[item.job].borrow();
            let job_item = &job.items[item.item];
            Waiting {
                events: events(job_item),
                read_tokens: read_tokens(job_item),
                step_end_ms: ends_ms[item.job],
            }
        })
        .collect();
    let fits = |item: usize, target: usize| {
        usable.contains(&targets[target]) && targets[target].fits(&waiting[item])
    };
    let chosen = finish::assign(&items, finish_targets, fits);
    let mut assignment = Assignment::default();
    for (item, target) in waiting.into_iter().zip(chosen) {
        match target {
            Some(target) => {
                targets[target].add_run();
                assignment.placed.push((item, target));
            }
            None => assignment.unplaced.push(item),
        }
    }
    assignment
}

/// Returns whether two jobs belong to one trainer, so that they are served one after the other.
fn is_same_trainer(left: &Job, right: &Job) -> bool {
    left.head.model.is_some()
        && left.head.model == right.head.model
        && left.head.account == right.head.account
}

/// Returns the waiting items in the order in which they get targets.
fn in_order(steps: &[share::Step], waiting: Vec<WaitingItem>) -> Vec<WaitingItem> {
    let item = |item: &WaitingItem| share::Item {
        step: item.job,
        carried: item.carried,
        work: to_float(item.remaining_tokens),
    };
    let items: Vec<share::Item> = waiting.iter().map(item).collect();
    let mut waiting: Vec<Option<WaitingItem>> = waiting.into_iter().map(Some).collect();
    let ordered = share::order(steps, &items);
    ordered.into_iter().filter_map(|index| waiting[index].take()).collect()
}

/// Returns the tokens that all slots of the targets that fit a job make in a millisecond.
fn rate(number: usize, placement_targets: &[PlacementTarget], targets: &[Target]) -> f64 {
    let fitting = placement_targets.iter().zip(targets);
    fitting
        .filter(|(target, _)| target.fitting_jobs.contains(&number) && !target.is_avoided)
        .map(|(target, speed)| {
            f64::from(target.slots) * to_float(TOKENS_PER_EVENT) / speed.event_ms
        })
        .sum()
}

/// What decides whether a job can meet its due time.
pub(crate) struct DueInputs {
    /// Estimated remaining tokens of the part that the trainer waits for.
    pub(crate) work: f64,
    /// Time until the job is due.
    pub(crate) due_ms: f64,
}

/// Returns a job as a step that shares targets with others, in tokens. `trainer` is the index of
/// the first job of its trainer.
pub(crate) fn shared_step(
    job: &Job,
    deployment: &Deployment,
    trainer: usize,
    end_ms: f64,
    rate: f64,
    now: Instant,
) -> (share::Step, DueInputs) {
    let groups = job.group_count.max(1);
    let wanted = job.submission.wanted_groups.min(groups);
    let all: f64 = to_float(job.submission.work());
    let needed = all * to_float(wanted as u64) / to_float(groups as u64);
    let received = to_float(job.items.iter().map(JobItem::received_tokens).sum());
    let is_running = |item: &&JobItem| matches!(item.phase, Phase::Running(_));
    let running = job.items.iter().filter(is_running).count();
    let route = match JobRoute::of(&job.head, deployment) {
        JobRoute::Found(route) => Some(route),
        JobRoute::Unknown | JobRoute::Gone => None,
    };
    let rank =
        route.as_ref().map_or(u32::MAX, |route| deployment.rank(route, job.head.account.as_ref()));
    let due = route.map(|route| route.due).filter(|due| !due.is_zero());
    let due_ms = due.map_or(f64::INFINITY, |due| millis_left(job.accepted + due, now));
    let work = (needed - received).max(0.0);
    let step = share::Step {
        trainer,
        rank,
        needed,
        received,
        running: u32::try_from(running).unwrap_or(u32::MAX),
        is_late: share::is_late(work, rate, end_ms, due_ms),
    };
    (step, DueInputs { work, due_ms })
}

/// Returns the targets as the decisions see them. One without a measured speed is assumed to be
/// as fast as the others of its service are on average.
pub(crate) fn finish_targets(targets: &[PlacementTarget]) -> Vec<Target> {
    let mut usual_ms: BTreeMap<&str, f64> = BTreeMap::new();
    for target in targets {
        let service = &*target.software.service;
        usual_ms.entry(service).or_insert_with(|| {
            let same = targets.iter().filter(|other| *other.software.service == *service);
            finish::usual_ms(same.filter_map(|other| other.event_interval_ms))
        });
    }
    let convert = |target: &PlacementTarget| Target {
        event_ms: target.event_interval_ms.unwrap_or(usual_ms[&*target.software.service]),
        samples: target.samples,
        running: target.running,
        open: target.free_slots().min(target.allowed_starts),
        is_local: target.is_local,
        decisive: 0,
    };
    targets.iter().map(convert).collect()
}

/// Returns a job with its runs in progress, and the index of the item of each run. Items that
/// wait are expected to start at once on the fastest target that fits. The index of the job is
/// that in the targets' lists of fitting jobs.
pub(crate) fn running_step(
    job: &Job,
    number: usize,
    placement_targets: &[PlacementTarget],
    targets: &[Target],
) -> (RunningStep, Vec<usize>) {
    let indexes: BTreeMap<&str, usize> =
        placement_targets.iter().enumerate().map(|(index, target)| (&*target.id, index)).collect();
    let fitting = placement_targets.iter().zip(targets);
    let fastest_ms = fitting
        .filter(|(target, _)| target.fitting_jobs.contains(&number))
        .map(|(_, target)| target.event_ms)
        .min_by(f64::total_cmp)
        .unwrap_or_else(|| finish::usual_ms(std::iter::empty()));
    let mut step = RunningStep {
        groups: vec![Group::default(); job.group_count],
        wanted: job.submission.wanted_groups,
        due_ms: None,
        runs: Vec::new(),
    };
    let mut items = Vec::new();
    for (index, item) in job.items.iter().enumerate() {
        let group = &mut step.groups[item.group];
        group.carried |= item.carried;
        let target = match &item.phase {
            Phase::Waiting => None,
            Phase::Running(target) => indexes.get(&**target).copied(),
            Phase::Generated | Phase::Unscored | Phase::Scoring | Phase::Finished => continue,
        };
        let events = events(item);
        match target {
            Some(target) => {
                let read_tokens = read_tokens(item);
                let moves = item.moves;
                step.runs.push(Run { group: item.group, target, events, read_tokens, moves });
                items.push(index);
            }
            None => group.end_ms = group.end_ms.max(events * fastest_ms),
        }
    }
    (step, items)
}

fn events(item: &JobItem) -> f64 {
    to_float(item.remaining_events().max(1))
}

fn read_tokens(item: &JobItem) -> f64 {
    to_float(item.read_tokens() as u64)
}

#[allow(clippy::cast_precision_loss)]
fn to_float(count: u64) -> f64 {
    count as f64
}

/// Returns the milliseconds until a time, 0 if it has passed.
fn millis_left(until: Instant, now: Instant) -> f64 {
    until.since(now).as_secs_f64() * 1000.0
}
