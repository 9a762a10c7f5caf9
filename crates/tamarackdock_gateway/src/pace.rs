//! The pace of targets that have started or recovered, with `scheduling.adaptive`. The decisions
//! are those of [`tamarackdock_route::pace`], the state is in [`crate::balance`], and
//! `docs/design/target-pace.md` describes both.

use tamarackdock_route::pace::Turn;
use tamarackdock_types::clock::{BootClock, Clock, Instant};

use crate::{deployment::Name, http::ExchangeError, node::Node, target::Registration};

/// Returns this node's turn among the owners of jobs that want to probe a target. It is only used
/// where the pace of targets is learned.
pub(crate) fn turn(node: &Node, target: &Registration) -> Turn {
    if !node.settings().scheduling.adaptive {
        return Turn::default();
    }
    let owners = node.jobs.owner_hosts();
    let usual = node.silence.usual(&target.service);
    Turn::new(&target.id, &node.members.own.host, owners.iter().map(|host| &**host), usual)
}

/// Records that a request ended with an error. Responses that are malformed come from a target that
/// runs, and errors of other nodes say nothing about it.
pub(crate) fn record_error(node: &Node, target: &str, error: ExchangeError, now: Instant) {
    if matches!(
        error,
        ExchangeError::NotSent | ExchangeError::ConnectionLost | ExchangeError::TimedOut
    ) {
        node.target_loads.borrow_mut().record_break(target, now);
    }
}

/// Records that a request that was sent at `sent` got its first event or its response.
pub(crate) fn record_response(node: &Node, target: &Registration, sent: Instant, now: Instant) {
    let usual = node.silence.usual(&target.service);
    node.target_loads.borrow_mut().record_response(&target.id, sent, usual, target.slots, now);
}

/// Records the same for a call, whose time counts for the usual one.
pub(crate) fn record_call(node: &Node, target: &Registration, sent: Instant, now: Instant) {
    if node.settings().scheduling.adaptive {
        record_response(node, target, sent, now);
        node.silence.observe(&target.service, now.since(sent));
    }
}

/// Takes note of targets that appeared.
pub(crate) fn observe_entries(node: &Node, now: Instant) {
    if !node.settings().scheduling.adaptive {
        return;
    }
    let targets = node.view.targets.borrow();
    let entries = targets.iter().map(|target| &target.registration);
    let entries = entries.filter(|entry| !entry.draining);
    let wall_ms = u64::try_from(node.cluster_unix_millis()).unwrap_or_default();
    let appeared: Vec<&Registration> =
        node.target_loads.borrow_mut().observe_entries(entries, wall_ms);
    for target in appeared {
        let turn = turn(node, target);
        node.target_loads.borrow_mut().mark_appeared(&target.id, turn, now);
    }
}

/// Logs which targets began or stopped to ramp, and updates their number.
pub(crate) fn report(node: &Node) {
    let now = BootClock.now();
    let mut loads = node.target_loads.borrow_mut();
    for change in loads.take_pace_changes() {
        slog::info!(node.log, "pace: target changed"; "target" => &*change.target,
            "ramps_since" => change.cause.map(|cause| format!("{cause:?}")),
            "running" => change.running, "age_ms" => now.since(change.at).as_millis());
    }
    node.metrics.ramping_targets.set(i64::try_from(loads.ramping()).unwrap_or(i64::MAX));
}

/// A target that began to ramp for a cause, or became steady.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PaceChange {
    pub(crate) target: Name,
    pub(crate) cause: Option<tamarackdock_route::pace::Cause>,
    /// Requests of this node in progress.
    pub(crate) running: u32,
    pub(crate) at: Instant,
}
