//! Starts the items of the batch jobs that this node runs, and aborts those that are out
//! of time.

use std::{cell::RefCell, rc::Rc, time::Duration};

use monoio::time::{sleep, timeout};
use tamarackdock_route::refusal::Subject;
use tamarackdock_types::clock::{BootClock, Clock, Instant};

use super::{
    estimate,
    job::{Job, Room},
    lifetime::{self, JobRoute},
    part,
    placement::{self, Assignment, PlacementTarget, WaitingItem},
    run, score,
};
use crate::{
    balance::{ITEMS_SHARE, NodeRank, Sender, TargetLoad, cold_share},
    call::pick_service,
    deployment::{Name, Service},
    duty::weight_loads,
    limit::permits,
    node::Node,
    pace,
    target::{Registration, Target},
};

/// Longest time between two checks for items that can start.
const INTERVAL: Duration = Duration::from_millis(250);
/// The same on a node that runs no jobs, which is notified of the first one.
const IDLE_INTERVAL: Duration = Duration::from_secs(2);
/// Most requests that one node starts on a target within about a second, if the target's
/// service has cold starts. A target can become cold without notice, and may then be sent
/// few requests.
const MAX_STARTS: u32 = 20;
/// Most waiting items of a bulk job that are looked at together, several times as many as start at
/// once.
const MAX_WAITING: usize = 512;
/// Interval of the checks for jobs that are out of time or whose route is gone.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);

/// Starts items and sends scoring calls until the process ends.
pub(crate) async fn run(node: Rc<Node>) {
    loop {
        let seen = node.jobs.changed.count();
        let jobs = node.jobs.open_jobs();
        let waiting = start_items(&node, &jobs) | score::start_calls(&node, &jobs);
        let pause = match () {
            () if waiting => placement::RETRY_PAUSE,
            () if node.jobs.is_busy() => INTERVAL,
            () => IDLE_INTERVAL,
        };
        // Both a change and the timeout lead to the next check.
        let _ = timeout(pause, node.jobs.changed.changed_since(seen)).await;
        if waiting {
            // Runs that end at about the same time are handled together.
            sleep(Duration::from_millis(2)).await;
        }
    }
}

/// Starts the items that can start and returns whether others still wait.
fn start_items(node: &Rc<Node>, jobs: &[Rc<RefCell<Job>>]) -> bool {
    let now = BootClock.now();
    if jobs.is_empty() {
        return false;
    }
    let waiting = waiting_items(node, jobs, now);
    let has_later = jobs.iter().any(|job| job.borrow().next_start().is_some());
    if waiting.is_empty() {
        return has_later;
    }
    let (mut targets, registrations) = placement_targets(node, jobs, now);
    let Assignment { placed, unplaced } = assign_items(node, jobs, waiting, &mut targets, now);
    for (target, registration) in targets.iter().zip(&registrations) {
        let wanted = target.room_for(&unplaced);
        if wanted > 0 {
            permits::replenish(node, registration, wanted);
        }
    }
    for item in unplaced.iter().filter(|item| item.made_by.is_some()) {
        let mut job = jobs[item.job].borrow_mut();
        let room = match () {
            () if !targets.iter().any(|target| target.fits(item)) => Room::Never,
            () if targets.iter().any(|target| target.could_begin(item)) => Room::Elsewhere,
            () => Room::Later,
        };
        let events = job.items[item.item].progress.event_count();
        if job.hold(item.item, room, now) {
            slog::info!(node.log, "item: text discarded, as no target continues it";
                "job" => &*job.id, "item" => &*job.items[item.item].request.id,
                "software" => item.made_by.as_ref().map(|made_by| made_by.version.to_string()),
                "events" => events, "room" => ?room);
        }
    }
    let has_unplaced = !unplaced.is_empty();
    for (placed_item, target_index) in placed {
        let job = jobs[placed_item.job].clone();
        let target = registrations[target_index].clone();
        node.limits.borrow_mut().use_permit(&target.id);
        job.borrow_mut().start(placed_item.item, target.id.clone());
        monoio::spawn(run::run(node.clone(), job, placed_item.item, target));
    }
    has_unplaced || has_later
}

/// Returns which of the waiting items start now. Updates the targets accordingly.
pub(crate) fn assign_items(
    node: &Node,
    jobs: &[Rc<RefCell<Job>>],
    waiting: Vec<WaitingItem>,
    targets: &mut [PlacementTarget],
    now: Instant,
) -> Assignment {
    if node.settings().scheduling.adaptive {
        estimate::assign_items(node, jobs, waiting, targets, now)
    } else {
        placement::assign_items(waiting, targets)
    }
}

/// Returns the items of jobs that may start now.
pub(crate) fn waiting_items(
    node: &Node,
    jobs: &[Rc<RefCell<Job>>],
    now: Instant,
) -> Vec<WaitingItem> {
    let mut waiting = Vec::new();
    let targets = node.view.targets.borrow();
    let slots = targets.iter().map(|target| target.registration.slots as usize).sum();
    for (index, job) in jobs.iter().enumerate() {
        let job = job.borrow();
        let is_bulk = part::is_bulk(job.head.items, slots) || job.is_split();
        let most = if is_bulk { MAX_WAITING } else { usize::MAX };
        waiting.extend(job.startable(now).take(most).map(|(item, job_item)| WaitingItem {
            job: index,
            item,
            carried: job_item.carried,
            remaining_tokens: job_item.remaining_tokens(),
            made_by: job_item.progress.made_by().cloned(),
            refusals: job_item.refusals.count(),
            is_unfit: job_item.refusals.subject() == Subject::Request,
            is_bulk,
        }));
    }
    waiting
}

/// Returns the targets of configured services that are neither draining nor in an
/// evacuated data centre, and the registration of each.
pub(crate) fn placement_targets(
    node: &Node,
    jobs: &[Rc<RefCell<Job>>],
    now: Instant,
) -> (Vec<PlacementTarget>, Vec<Registration>) {
    pace::observe_entries(node, now);
    let deployment = node.view.deployment();
    let targets = node.view.targets.borrow();
    let evacuated = node.view.evacuated.borrow();
    let assigned = weight_loads::assignment(node);
    let loads = node.target_loads.borrow();
    let limits = node.limits.borrow();
    let rank = node.jobs.owner_rank(&node.members.own);
    let is_adaptive = node.settings().scheduling.adaptive;
    let services: Vec<Option<Name>> =
        jobs.iter().map(|job| service_of(node, &job.borrow())).collect();
    let mut usable = Vec::new();
    let mut registrations = Vec::new();
    for target in targets.iter() {
        let registration = &target.registration;
        let Some(service) = deployment.services.get(&registration.service) else { continue };
        if registration.draining || evacuated.contains(&registration.data_centre) {
            continue;
        }
        let fitting = |(index, job): (usize, &Rc<RefCell<Job>>)| {
            let job = job.borrow();
            let is_served = services[index].as_ref() == Some(&registration.service);
            let assigned = assigned.get(&registration.id).map(Vec::as_slice);
            (is_served && can_serve(&job, registration, assigned)).then_some(index)
        };
        let load = loads.get(&registration.id);
        let merged = node.observations.merged(registration, load.speed(now), now);
        usable.push(PlacementTarget {
            id: registration.id.clone(),
            software: registration.software(),
            running: load.running.saturating_add(merged.others),
            slots: registration.slots,
            event_interval_ms: if is_adaptive {
                merged.event_interval_ms
            } else {
                load.event_interval_ms
            },
            samples: merged.samples,
            allowed_starts: allowed_starts(&load, target, service, rank, now)
                .min(load.allowed_probes().unwrap_or(u32::MAX))
                .min(load.allowed_by_pace(merged.others, now).unwrap_or(u32::MAX))
                .min(limits.allowed_items(registration, now)),
            is_avoided: load.is_avoided_by(Sender::Item, now) || target.may_have_restarted(),
            refuses: load.refuses,
            is_local: registration.data_centre == node.data_centre,
            fitting_jobs: jobs.iter().enumerate().filter_map(fitting).collect(),
        });
        registrations.push(registration.clone());
    }
    (usable, registrations)
}

/// Returns the service that runs a job's items, or `None` if the job's route is gone.
pub(crate) fn service_of(node: &Node, job: &Job) -> Option<Name> {
    let route = lifetime::route(&job.head, &node.view.deployment())?;
    Some(pick_service(&route, &job.id))
}

/// Returns whether a target has the weights for a job and is not assigned to other
/// models. A job without a model can run on any target.
pub(crate) fn can_serve(job: &Job, target: &Registration, assigned: Option<&[Name]>) -> bool {
    let Some(model) = &job.submission.model else { return true };
    let version = target.versions.get(model).copied().unwrap_or_default();
    let is_allowed = assigned.is_none_or(|assigned| assigned.contains(model));
    version >= job.submission.min_version && is_allowed
}

/// Returns the number of requests that this node may start on a target now.
fn allowed_starts(
    load: &TargetLoad,
    target: &Target,
    service: &Service,
    rank: NodeRank,
    now: Instant,
) -> u32 {
    let is_cold = target.is_cold(now) && service.cold_rate > 0.0;
    let limit = match is_cold {
        true => {
            let share = cold_share(service.cold_rate * ITEMS_SHARE, rank);
            u32::try_from(share).unwrap_or(u32::MAX)
        }
        false if service.cold_rate > 0.0 => MAX_STARTS,
        false => return u32::MAX,
    };
    limit.saturating_sub(u32::try_from(load.recent_starts(now)).unwrap_or(u32::MAX))
}

/// Aborts the unfinished items of a job when they are out of time or their route is gone.
/// Returns when the job is closed or complete.
pub(crate) async fn expire(node: Rc<Node>, job: Rc<RefCell<Job>>) {
    loop {
        sleep(EXPIRY_INTERVAL).await;
        let mut job = job.borrow_mut();
        if job.closed || job.is_complete() {
            return;
        }
        let deployment = node.view.deployment();
        let age = BootClock.now().since(job.accepted);
        let route = JobRoute::of(&job.head, &deployment);
        job.max_failures = route.max_failures();
        let expiry = route.expiry(age);
        let has_unfinished = job.head.items > job.listed() + job.uncommitted.len();
        if let Some(expiry) = expiry.filter(|_| has_unfinished) {
            slog::info!(node.log, "job: unfinished items aborted"; "job" => &*job.id,
                "reason" => ?expiry, "age_ms" => age.as_millis(),
                "configuration" => deployment.version, "accepted_under" => job.head.deployment,
                "listed" => job.listed());
            job.abort_unfinished();
        }
    }
}
