//! Sends the scoring calls of items whose text is complete, and reports their outcomes to the
//! job. The decisions are those of [`scoring`](super::scoring).

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use tamarackdock_types::clock::{BootClock, Clock, Instant};

use super::{
    ScoringCall,
    job::Job,
    lifetime,
    run::until_stopped,
    scoring::{self, Outcome, WaitingCall},
};
use crate::{
    balance::Sender,
    call::{Attempt, Call, pick_service},
    deployment::{Name, Route},
    hedge,
    node::Node,
};

/// Pause after a scoring call whose route is not configured.
const NO_ROUTE_PAUSE: Duration = Duration::from_millis(500);

/// Sends the scoring calls of `jobs` that there is room for. Returns whether others still wait.
pub(crate) fn start_calls(node: &Rc<Node>, jobs: &[Rc<RefCell<Job>>]) -> bool {
    let now = BootClock.now();
    let mut waiting: BTreeMap<Option<Name>, Vec<WaitingCall>> = BTreeMap::new();
    for (index, job) in jobs.iter().enumerate() {
        let job = job.borrow();
        for (item, job_item) in job.unscored(now) {
            let Some(call) = &job_item.request.scoring else { continue };
            let service = route(node, call).map(|route| pick_service(&route, &call.id));
            waiting.entry(service).or_default().push(WaitingCall {
                job: index,
                item,
                carried: job_item.carried,
                unfinished_in_group: job.unfinished_in_group(&job_item.request.group),
                is_unfit: job_item.scoring.is_unfit(),
            });
        }
    }
    let mut has_waiting = false;
    for (service, calls) in waiting {
        let count = calls.len();
        // Without a route, `run` logs that, and the call waits for another configuration.
        let room = service.map_or(usize::MAX, |service| room(node, &service, now));
        let admitted = scoring::admit(calls, room);
        has_waiting |= admitted.len() < count;
        for call in admitted {
            let job = jobs[call.job].clone();
            job.borrow_mut().start_scoring(call.item);
            monoio::spawn(run(node.clone(), job, call.item));
        }
    }
    has_waiting
}

fn route(node: &Node, call: &ScoringCall) -> Option<Rc<Route>> {
    node.view.deployment().route(&call.host, &call.path)
}

/// Returns how many scoring calls the targets of a service can take now.
fn room(node: &Node, service: &str, now: Instant) -> usize {
    let targets = node.view.targets.borrow();
    let evacuated = node.view.evacuated.borrow();
    let loads = node.target_loads.borrow();
    let usable = targets.iter().map(|target| &target.registration).filter(|entry| {
        *entry.service == *service && !entry.draining && !evacuated.contains(&entry.data_centre)
    });
    let room = usable.map(|entry| {
        let load = loads.get(&entry.id);
        let free = load.unreserved_slots(entry.slots, scoring::RESERVED_SLOTS) as usize;
        if load.is_avoided_by(Sender::Scoring, now) { 0 } else { free }
    });
    room.sum()
}

/// Sends the scoring call of an item to targets until one answers or the attempts are used
/// up, or the job is stopped.
async fn run(node: Rc<Node>, job: Rc<RefCell<Job>>, index: usize) {
    let began = BootClock.now();
    let Some(prepared) = prepare(&node, &job.borrow(), index, began) else {
        let outcome = Outcome::NotSent(Some(NO_ROUTE_PAUSE));
        finish(&node, &job, index, outcome, 0, "no_route", began);
        return;
    };
    let Some(attempts) = until_stopped(&job, hedge::send(&node, &prepared)).await else {
        // The text is in the store. The next owner sends the call again.
        slog::info!(node.log, "score: call stopped"; "job" => &*job.borrow().id,
            "call" => &prepared.id);
        return;
    };
    let (label, outcome) = outcome(&node, attempts);
    let job_limit = job.borrow().max_failures;
    finish(&node, &job, index, outcome, prepared.route.attempts.max(job_limit), label, began);
}

/// Reports the outcome of a call to the job, and logs it.
fn finish(
    node: &Rc<Node>,
    job: &Rc<RefCell<Job>>,
    index: usize,
    outcome: Outcome,
    max_failures: u32,
    label: &'static str,
    began: Instant,
) {
    let now = BootClock.now();
    let mut job = job.borrow_mut();
    job.end_scoring(index, outcome, max_failures, now);
    node.metrics.scores.with_label_values(&[label]).inc();
    let item = &job.items[index];
    slog::info!(node.log, "score: call ended"; "job" => &*job.id, "item" => &*item.request.id,
        "call" => item.request.scoring.as_ref().map(|call| call.id.to_string()),
        "outcome" => label, "phase" => ?item.phase, "ms" => now.since(began).as_millis());
    drop(job);
    node.jobs.changed.notify_all();
}

/// Returns the outcome of a call with its label in logs and metrics. Only a whole answer of
/// success with the signature of its target scores an item.
fn outcome(node: &Node, attempts: hedge::Summary) -> (&'static str, Outcome) {
    let signature = node.wire_format.fields().signature;
    match attempts.last {
        Some(Attempt::Answered(response)) if (200..300).contains(&response.head.status) => {
            match response.head.headers.get(signature) {
                Some(score) => ("scored", Outcome::Scored(score.into())),
                None => ("unknown", Outcome::Unknown),
            }
        }
        _ if attempts.failures > 0 => ("failed", Outcome::Failed(attempts.failures)),
        Some(Attempt::NotRun(after)) => ("not_run", Outcome::NotRun(after)),
        Some(Attempt::NoPath) => ("no_path", Outcome::NotSent(None)),
        Some(Attempt::Withheld(after)) => ("withheld", Outcome::NotSent(Some(after))),
        Some(Attempt::Answered(_) | Attempt::Unknown(_)) | None => ("unknown", Outcome::Unknown),
    }
}

/// Builds the scoring call of an item, or returns `None` if no route leads to its targets.
fn prepare(node: &Node, job: &Job, index: usize, now: Instant) -> Option<Call> {
    let scoring = job.items[index].request.scoring.as_ref()?;
    let route = route(node, scoring)?;
    let own_route = lifetime::route(&job.head, &node.view.deployment())?;
    let give_up_at = (now + route.timeout).min(job.accepted + own_route.item_lifetime);
    Some(Call::scoring(node, scoring, route, now, give_up_at))
}
