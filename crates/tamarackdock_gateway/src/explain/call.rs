//! Where a call would be sent.

use std::rc::Rc;

use bytes::Bytes;
use serde_json::{Value, json};
use tamarackdock_admit::outlook::Decision;
use tamarackdock_types::clock::{BootClock, Clock, Instant};

use super::{ExplainError, MAX_TARGETS};
use crate::{
    call::Call,
    deployment::{CallKind, Name, Route},
    http::{Framing, Headers, RequestHead},
    node::Node,
    outlook,
    server::Request,
    target::Registration,
};

/// Explains where a call of a host and path would be sent. A call's id picks one of the services
/// of its route, so that each is explained.
pub(super) fn explain(node: &Node, host: &str, path: &str) -> Result<Value, ExplainError> {
    let now = BootClock.now();
    let deployment = node.view.deployment();
    let Some(route) = deployment.route(host, path) else {
        let host_name = host.split(':').next().unwrap_or_default().to_ascii_lowercase();
        let (host, path) = (host.into(), path.into());
        let has_host = deployment.routes.contains_key(&host_name);
        return Err(if has_host {
            ExplainError::NoRoute { host, path }
        } else {
            ExplainError::Host { host }
        });
    };
    let services = route.services.iter().map(|(name, weight)| {
        let only = Route { services: vec![(name.clone(), *weight)], ..(*route).clone() };
        explain_service(node, name, *weight, &call_of(node, host, path, only, now))
    });
    let freshness = node.view.freshness.borrow();
    Ok(json!({
        "gateway": &*node.members.own.host,
        "configuration": deployment.version,
        "proof_age_ms": freshness.age(now).map(|age| age.as_millis()),
        "accepts_calls": freshness.allows_keys(now) && !node.is_leaving(),
        "paths_lost": node.paths.are_lost(),
        "route": {
            "name": &*route.name, "host": route.host, "prefix": route.prefix,
            "kind": kind_name(route.kind), "public": route.public,
            "timeout_ms": route.timeout.as_millis(), "objective_ms": route.objective.as_millis(),
            "attempts": route.attempts,
        },
        "services": services.collect::<Vec<_>>(),
    }))
}

fn kind_name(kind: CallKind) -> &'static str {
    match kind {
        CallKind::Idempotent => "idempotent",
        CallKind::AtMostOnce => "at_most_once",
        CallKind::Stream { resumable: true } => "resumable_stream",
        CallKind::Stream { resumable: false } => "stream",
        CallKind::Batch => "batch",
    }
}

/// Creates the call that is explained. It is never sent.
fn call_of(node: &Node, host: &str, path: &str, route: Route, now: Instant) -> Call {
    let mut headers = Headers::default();
    headers.push("Host", host.as_bytes());
    let head = RequestHead {
        method: "POST".into(),
        target: path.into(),
        headers,
        keep_alive: true,
        framing: Framing::Length(0),
    };
    let request = Request { head, body: Bytes::new(), arrived: now, _reservation: None };
    Call::new(node, request, Rc::new(route), None)
}

fn explain_service(node: &Node, service: &Name, weight: u32, call: &Call) -> Value {
    let targets: Vec<Registration> = match call.route.kind {
        // Their items have an order of their own.
        CallKind::Batch => Vec::new(),
        CallKind::Stream { .. } => call.candidates(node, &[]).take(MAX_TARGETS).collect(),
        CallKind::Idempotent | CallKind::AtMostOnce => outlook::order(node, call, MAX_TARGETS),
    };
    let left_out = call.left_out(node);
    let decision = match call.route.kind {
        CallKind::Batch => json!({"action": "submit"}),
        CallKind::Stream { .. } => json!({"action": "send"}),
        CallKind::Idempotent | CallKind::AtMostOnce => decision(&outlook::decide(node, call)),
    };
    json!({
        "name": &**service, "weight": weight, "decision": decision,
        "targets": targets.iter().map(|target| target_inputs(node, target)).collect::<Vec<_>>(),
        "left_out_count": left_out.len(),
        "left_out": left_out.iter().take(MAX_TARGETS).map(|(target, reason)| json!({
            "id": &*target.id, "data_centre": &*target.data_centre, "reason": reason.to_string(),
        })).collect::<Vec<_>>(),
    })
}

fn decision(decision: &Decision) -> Value {
    match decision {
        Decision::Send => json!({"action": "send"}),
        Decision::Probe { target } => json!({"action": "probe", "target": &**target}),
        Decision::Refuse(refusal) => json!({
            "action": "refuse", "reason": refusal.reason.to_string(),
            "retry_after_ms": refusal.retry_after.as_millis(),
        }),
    }
}

/// Returns what the order of a target depends on.
fn target_inputs(node: &Node, target: &Registration) -> Value {
    let now = BootClock.now();
    let load = node.target_loads.borrow().get(&target.id);
    let limits = node.limits.borrow();
    let store_ms = node.store_clock.millis(now);
    let limit = limits.observation(&target.id, target.started);
    let limit_age = limit.and_then(|limit| Some(store_ms? - limit.at_ms));
    let candidate = outlook::candidate(node, target);
    let estimate = node.outlook.borrow().estimate(&target.service, &candidate, now);
    let cold_ms = node.view.targets.borrow().get(&target.id).map(|known| {
        known.cold_until.since(now).max(known.presumed_cold_until.since(now)).as_millis()
    });
    let avoided = load.avoidance(now).map(|avoidance| {
        json!({
            "reason": avoidance.reason, "age_ms": avoidance.age.as_millis(),
            "for_ms": avoidance.left.as_millis(),
        })
    });
    json!({
        "id": &*target.id, "data_centre": &*target.data_centre,
        "local": target.data_centre == node.data_centre,
        "software": &*target.software_version,
        "running": load.running, "slots": target.slots,
        "avoided": avoided,
        "cold_ms": cold_ms, "recent_starts": load.recent_starts(now),
        "limit": limits.is_limited(target).then(|| json!({
            "age_ms": limit_age, "spared": limits.is_spared(target, store_ms),
            "withheld_ms": limits.withheld_for(target, now).as_millis(),
        })),
        "outlook": {
            "evidence": estimate.evidence.to_string(), "age_ms": estimate.age.as_millis(),
            "room_in_ms": estimate.room_in.as_millis(), "usual_ms": estimate.usual.as_millis(),
        },
    })
}
