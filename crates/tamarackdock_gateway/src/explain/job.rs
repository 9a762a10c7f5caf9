//! Where the waiting items of a batch job would run.

use std::{cell::RefCell, rc::Rc};

use serde_json::{Value, json};
use tamarackdock_types::clock::{BootClock, Clock, Instant};

use super::{ExplainError, MAX_ITEMS, MAX_TARGETS};
use crate::{
    batch::{
        index::VersionedHead,
        job::{Job, Phase},
        placement::{Assignment, PlacementTarget, WaitingItem},
        schedule,
    },
    duty::weight_loads,
    node::Node,
    target::Registration,
};

/// Explains a job: its owner, and at the owner its items.
pub(super) fn explain(node: &Node, id: &str) -> Result<Value, ExplainError> {
    let entry = node.jobs.head(id).ok_or_else(|| ExplainError::Job { job: id.into() })?;
    let VersionedHead { head, revision } = entry;
    let owner = head.owner.as_ref().map(|owner| {
        json!({
            "host": &*owner.host, "run": format!("{:016x}", owner.number),
            "is_this_gateway": *owner == node.members.own,
            "is_live": node.members.live().contains(owner),
            "peer_address": node.members.address(owner).map(|address| address.to_string()),
        })
    });
    let jobs = node.jobs.open_jobs();
    let index = jobs.iter().position(|job| *job.borrow().id == *id);
    Ok(json!({
        "gateway": &*node.members.own.host,
        "job": id, "step": head.step, "model": head.model.as_deref(), "ended": head.ended,
        "owner": owner, "epoch": head.epoch, "revision": revision, "item_count": head.items,
        // Only the owner knows what became of the items.
        "items": index.map(|index| explain_items(node, &jobs, index)),
    }))
}

fn explain_items(node: &Node, jobs: &[Rc<RefCell<Job>>], index: usize) -> Value {
    let now = BootClock.now();
    let (targets, registrations) = schedule::placement_targets(node, jobs, now);
    let mut after = targets.clone();
    let waiting = schedule::waiting_items(node, jobs, now);
    let Assignment { placed, unplaced } =
        schedule::assign_items(node, jobs, waiting, &mut after, now);
    let job = jobs[index].borrow();
    let count = |phase: &Phase| job.items.iter().filter(|item| item.phase == *phase).count();
    let is_running = |phase: &Phase| matches!(phase, Phase::Running(_));
    let placed = placed.iter().filter(|(item, _)| item.job == index).map(|(item, target)| {
        let wait = format!("starts at the next check on `{}`", targets[*target].id);
        explain_item(&job, item, &targets, &wait)
    });
    let unplaced = unplaced
        .iter()
        .filter(|item| item.job == index)
        .map(|item| explain_item(&job, item, &targets, &reason_to_wait(item, &after)));
    let paused = job.items.iter().filter(|item| item.phase == Phase::Waiting);
    let paused = paused.filter(|item| now < item.not_before || job.stopping).map(|item| {
        let wait = if job.stopping {
            "the job is handed over to another host".to_owned()
        } else {
            let left = item.not_before.since(now).as_millis();
            format!("paused for {left} ms more after its last run")
        };
        json!({"item": &*item.request.id, "waits_for": wait})
    });
    json!({
        // Without a service, the job's route is gone.
        "service": schedule::service_of(node, &job).as_deref(),
        "waiting": count(&Phase::Waiting),
        "running": job.items.iter().filter(|item| is_running(&item.phase)).count(),
        "generated": count(&Phase::Generated), "unscored": count(&Phase::Unscored),
        "scoring": count(&Phase::Scoring), "finished": count(&Phase::Finished),
        "listed": placed.chain(unplaced).chain(paused).take(MAX_ITEMS).collect::<Vec<_>>(),
        "left_out": left_out(node, &job, &registrations, now),
    })
}

fn explain_item(job: &Job, item: &WaitingItem, targets: &[PlacementTarget], wait: &str) -> Value {
    let fitting = || targets.iter().filter(|target| target.fits(item));
    let inputs = |target: &PlacementTarget| {
        json!({
            "id": &*target.id, "running": target.running, "slots": target.slots,
            "may_start": (target.allowed_starts < u32::MAX).then_some(target.allowed_starts),
            "avoided": target.is_avoided, "local": target.is_local,
            "pace_ms": target.event_interval_ms,
        })
    };
    json!({
        "item": &*job.items[item.item].request.id,
        "carried": item.carried, "remaining_tokens": item.remaining_tokens,
        "software": item.made_by.as_ref().map(|made_by| &*made_by.version),
        "waits_for": wait,
        "target_count": fitting().count(),
        "targets": fitting().take(MAX_TARGETS).map(inputs).collect::<Vec<_>>(),
    })
}

/// Returns what an item that was not placed waits for. `targets` have the items that start before
/// it.
pub(crate) fn reason_to_wait(item: &WaitingItem, targets: &[PlacementTarget]) -> String {
    let of_job = targets.iter().filter(|target| target.fitting_jobs.contains(&item.job));
    let fitting: Vec<_> = targets.iter().filter(|target| target.fits(item)).collect();
    let avoided = fitting.iter().filter(|target| target.is_avoided).count();
    let usable = || fitting.iter().filter(|target| !target.is_avoided);
    let full = usable().filter(|target| target.running >= target.slots).count();
    match (of_job.count(), fitting.len()) {
        (0, _) => "a target with the weights for its job".into(),
        (others, 0) => format!("a target of the software of its text; {others} run another one"),
        (_, all) => format!(
            "room: of {all} targets, {full} are full with the items that start before it, \
             {avoided} are avoided after a failure or refusal, and {} may start no more requests \
             now (cold, limited or probed)",
            all - full - avoided
        ),
    }
}

/// Returns the targets of a job's service that none of its items can run on, and why.
fn left_out(node: &Node, job: &Job, usable: &[Registration], now: Instant) -> Vec<Value> {
    let service = schedule::service_of(node, job);
    let assigned = weight_loads::assignment(node);
    let targets = node.view.targets.borrow();
    let evacuated = node.view.evacuated.borrow();
    let reason = |target: &Registration| {
        let model = job.submission.model.as_ref();
        let version = model.and_then(|model| target.versions.get(model)).copied();
        match (assigned.get(&target.id).map(Vec::as_slice), model) {
            _ if target.draining => Some("draining".to_owned()),
            _ if evacuated.contains(&target.data_centre) => {
                Some("its data centre is evacuated".into())
            }
            _ if !usable.iter().any(|usable| usable.id == target.id) => {
                Some("its service is not configured".into())
            }
            (assigned, _) if schedule::can_serve(job, target, assigned) => None,
            (Some(assigned), Some(model)) if !assigned.contains(model) => {
                Some(format!("assigned to the model `{}`", assigned.join("`, `")))
            }
            _ => Some(format!(
                "it has version {} of the weights and the job needs {}",
                version.unwrap_or_default(),
                job.submission.min_version
            )),
        }
    };
    let of_service =
        targets.iter().filter(|target| Some(&target.registration.service) == service.as_ref());
    let with_reason = of_service.filter_map(|target| {
        let entry = &target.registration;
        let cold_ms = target.cold_until.since(now).as_millis();
        let reason = reason(entry)?;
        Some(json!({"id": &*entry.id, "data_centre": &*entry.data_centre, "reason": reason,
            "cold_ms": cold_ms}))
    });
    with_reason.take(MAX_TARGETS).collect()
}
