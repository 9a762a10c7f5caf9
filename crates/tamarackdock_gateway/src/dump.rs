//! State dump of a node for operators.

use serde_json::json;
use tamarackdock_types::clock::{BootClock, Clock};

use crate::node::Node;

/// Returns the state of a node as JSON.
pub(crate) fn state(node: &Node) -> Vec<u8> {
    let now = BootClock.now();
    let targets = node.view.targets.borrow();
    let loads = node.target_loads.borrow();
    let targets: Vec<_> = targets
        .iter()
        .map(|target| {
            let entry = &target.registration;
            let load = loads.get(&entry.id);
            let merged = node.observations.merged(entry, load.speed(now), now);
            json!({
                "id": &*entry.id, "service": &*entry.service, "data_centre": &*entry.data_centre,
                "software": &*entry.software_version, "draining": entry.draining,
                "cold_ms": target.cold_until.since(now).as_millis(),
                "limited": node.limits.borrow().is_limited(entry),
                "versions": entry.versions.iter().map(|(model, version)| (model.to_string(), *version))
                    .collect::<std::collections::BTreeMap<_, _>>(),
                "running": load.running, "avoided": load.is_avoided(now),
                // Operators know the event interval by this name.
                "pace_ms": load.event_interval_ms,
                "running_elsewhere": merged.others, "fleet_pace_ms": merged.event_interval_ms,
                "reports": merged.reports, "report_age_ms": merged.age.map(|age| age.as_millis()),
                "allowed": load.allowed_by_pace(merged.others, now),
            })
        })
        .collect();
    let jobs: Vec<_> = node
        .jobs
        .open_jobs()
        .iter()
        .map(|job| {
            let job = job.borrow();
            json!({
                "id": &*job.id, "step": job.head.step, "items": job.head.items,
                "loaded": job.items.len(), "listed": job.listed(), "epoch": job.head.epoch,
            })
        })
        .collect();
    let live: Vec<_> = node.members.live().iter().map(|run| run.host.to_string()).collect();
    let state = json!({
        "host": &*node.members.own.host,
        "run": format!("{:016x}", node.members.own.number),
        "leaving": node.is_leaving(),
        "configuration": node.view.deployment().version,
        "proof_age_ms": node.view.freshness.borrow().age(now).map(|age| age.as_millis()),
        "evacuated": node.view.evacuated.borrow().iter().map(ToString::to_string).collect::<Vec<_>>(),
        "holds_duties": node.duties.permit().is_some(),
        "live": live,
        "targets": targets,
        "jobs": jobs,
        "connections": node.connections.count(),
    });
    state.to_string().into_bytes()
}
