//! Applies the decisions of [`tamarackdock_rollout::finish`] to the jobs that this node runs.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use tamarackdock_rollout::finish::{self, Group, Move, Run, RunningStep, Target, Waiting};
use tamarackdock_types::clock::Instant;

use super::{
    job::{Job, JobItem, Phase},
    lifetime::JobRoute,
    placement::{Assignment, PlacementTarget, WaitingItem},
    schedule,
};
use crate::{deployment::Name, node::Node, target::Registration};

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
    jobs: &[Rc<RefCell<Job>>],
    mut waiting: Vec<WaitingItem>,
    targets: &mut [PlacementTarget],
) -> Assignment {
    let mut finish_targets = finish_targets(targets);
    let mut ends_ms = Vec::new();
    for (number, job) in jobs.iter().enumerate() {
        let (step, _) = running_step(&job.borrow(), number, targets, &finish_targets);
        ends_ms.push(step.mark_decisive(&mut finish_targets));
    }
    waiting.sort_by_key(WaitingItem::order);
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
    let fits = |item: usize, target: usize| targets[target].fits(&waiting[item]);
    let chosen = finish::assign(&items, &mut finish_targets, fits);
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

/// Returns the targets as the decisions see them. One without a measured speed is assumed to be
/// as fast as the others of its service are on average.
fn finish_targets(targets: &[PlacementTarget]) -> Vec<Target> {
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
fn running_step(
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

#[allow(clippy::cast_precision_loss)]
fn events(item: &JobItem) -> f64 {
    item.remaining_events().max(1) as f64
}

#[allow(clippy::cast_precision_loss)]
fn read_tokens(item: &JobItem) -> f64 {
    item.read_tokens() as f64
}

/// Returns the milliseconds until a time, 0 if it has passed.
fn millis_left(until: Instant, now: Instant) -> f64 {
    until.since(now).as_secs_f64() * 1000.0
}
