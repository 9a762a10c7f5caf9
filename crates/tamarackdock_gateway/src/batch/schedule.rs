//! Starts the items of the jobs that this node runs.

use std::{cell::RefCell, rc::Rc, time::Duration};

use monoio::time::{sleep, timeout};
use tamarackdock_types::clock::{BootClock, Clock, Instant};

use super::{
    job::Job,
    place::{self, Engine, Waiting},
    run,
};
use crate::{
    balance::{ITEMS_SHARE, Load, Place, cold_share},
    call::pick_service,
    deployment::{Name, Service},
    duty::loads,
    node::Node,
    target::{Registration, Target},
};

/// Longest time between looks for items that can start.
const INTERVAL: Duration = Duration::from_millis(250);
/// Most requests that a target gets from one node in about a second. A target
/// can turn cold without notice, and then bears few.
const MAX_STARTS: u32 = 20;
/// Time between looks for jobs whose time is up or whose route is gone.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);
/// Time beyond an item's lifetime at which it is given up, for the error of the
/// estimated time of the submission.
const LIFETIME_MARGIN: Duration = Duration::from_millis(500);

/// Starts items for ever.
pub(crate) async fn run(node: Rc<Node>) {
    loop {
        let seen = node.jobs.changed.count();
        let waiting = start_items(&node);
        let pause = if waiting { place::RETRY_PAUSE } else { INTERVAL };
        // Either a change or the time is a reason to look again.
        let _ = timeout(pause, node.jobs.changed.after(seen)).await;
        if waiting {
            // Gathers the ends of runs that come together.
            sleep(Duration::from_millis(2)).await;
        }
    }
}

/// Starts what can start and returns whether items are left that wait.
fn start_items(node: &Rc<Node>) -> bool {
    let now = BootClock.now();
    let jobs = node.jobs.open();
    if jobs.is_empty() {
        return false;
    }
    let mut waiting = Vec::new();
    for (index, job) in jobs.iter().enumerate() {
        let job = job.borrow();
        waiting.extend(job.startable(now).map(|(item, work)| Waiting {
            job: index,
            item,
            carried: work.carried,
            left: work.left(),
        }));
    }
    let later = jobs.iter().any(|job| job.borrow().next_start().is_some());
    if waiting.is_empty() {
        return later;
    }
    let count = waiting.len();
    let (mut engines, registrations) = engines(node, &jobs, now);
    let placed = place::place(waiting, &mut engines);
    let left = count > placed.len();
    for (item, engine) in placed {
        let job = jobs[item.job].clone();
        let target = registrations[engine].clone();
        job.borrow_mut().start(item.item, target.id.clone());
        monoio::spawn(run::run(node.clone(), job, item.item, target));
    }
    left || later
}

/// Returns the targets that can take items of some job.
fn engines(
    node: &Node,
    jobs: &[Rc<RefCell<Job>>],
    now: Instant,
) -> (Vec<Engine>, Vec<Registration>) {
    let deployment = node.beliefs.deployment();
    let targets = node.beliefs.targets.borrow();
    let evacuated = node.beliefs.evacuated.borrow();
    let assigned = loads::assignment(node);
    let loads = node.loads.borrow();
    let place = node.jobs.place(&node.members.own);
    let services: Vec<Option<Name>> =
        jobs.iter().map(|job| service_of(node, &job.borrow())).collect();
    let mut engines = Vec::new();
    let mut registrations = Vec::new();
    for target in targets.iter() {
        let entry = &target.registration;
        let Some(service) = deployment.services.get(&entry.service) else { continue };
        if entry.draining || evacuated.contains(&entry.data_centre) {
            continue;
        }
        let fits = |(index, job): (usize, &Rc<RefCell<Job>>)| {
            let job = job.borrow();
            let served = services[index].as_ref() == Some(&entry.service);
            (served && fits(&job, entry, assigned.get(&entry.id))).then_some(index)
        };
        let load = loads.get(&entry.id);
        engines.push(Engine {
            id: entry.id.clone(),
            running: load.running,
            slots: entry.slots,
            pace: load.pace,
            bears: bears(&load, target, service, place, now),
            avoided: load.is_avoided(now),
            near: entry.data_centre == node.data_centre,
            fits: jobs.iter().enumerate().filter_map(fits).collect(),
        });
        registrations.push(entry.clone());
    }
    (engines, registrations)
}

fn service_of(node: &Node, job: &Job) -> Option<Name> {
    let route = node.beliefs.deployment().route(&job.head.host, &job.head.path)?;
    Some(pick_service(&route, &job.id))
}

/// Returns whether a target's weights fit a job and its model is the one that
/// the target is meant for.
pub(crate) fn fits(job: &Job, entry: &Registration, assigned: Option<&Name>) -> bool {
    let Some(model) = &job.submission.model else { return true };
    let version = entry.versions.get(model).copied().unwrap_or_default();
    let meant = assigned.is_none_or(|assigned| assigned == model);
    version >= job.submission.min_version && meant
}

fn bears(load: &Load, target: &Target, service: &Service, place: Place, now: Instant) -> u32 {
    let cold = target.is_cold(now) && service.cold_rate > 0.0;
    let limit = match cold {
        true => {
            let share = cold_share(service.cold_rate * ITEMS_SHARE, place);
            u32::try_from(share).unwrap_or(u32::MAX)
        }
        false if service.cold_rate > 0.0 => MAX_STARTS,
        false => return u32::MAX,
    };
    limit.saturating_sub(u32::try_from(load.recent_starts(now)).unwrap_or(u32::MAX))
}

/// Gives up the items of a job when their time is up or their route is gone.
pub(crate) async fn expire(node: Rc<Node>, job: Rc<RefCell<Job>>) {
    loop {
        sleep(EXPIRY_INTERVAL).await;
        let mut job = job.borrow_mut();
        if job.closed || job.is_complete() {
            return;
        }
        let deployment = node.beliefs.deployment();
        if deployment.version == 0 {
            continue;
        }
        let route = deployment.route(&job.head.host, &job.head.path);
        let up = route.as_ref().is_none_or(|route| {
            BootClock.now().since(job.accepted) > route.item_lifetime + LIFETIME_MARGIN
        });
        if up && job.works.len() > job.listed.len() + job.unlisted.len() {
            slog::info!(node.log, "job: items given up"; "job" => &*job.id,
                "route_gone" => route.is_none(), "listed" => job.listed.len());
            job.abort_rest();
        }
    }
}
