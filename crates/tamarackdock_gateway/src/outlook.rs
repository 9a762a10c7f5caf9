//! Asks the [`Outlook`] whether calls to plain services are sent, and tells it what comes of
//! calls. See `docs/design/call-outlook.md`.

use std::rc::Rc;

use tamarackdock_admit::outlook::{Candidate, Decision, Refusal};
use tamarackdock_types::clock::{BootClock, Clock, Instant};

use crate::{
    call::{Call, pick_service},
    deployment::Name,
    node::Node,
    origin::Origin,
    reply::Reply,
    target::Registration,
};

/// Label of refusals before any target was asked.
const AT_ONCE: &str = "at_once";
/// Label of refusals after targets have refused the call.
const AFTER_REFUSALS: &str = "after_refusals";

/// Counts a call as waiting for a target's response until it is dropped.
pub(crate) struct Waiting {
    node: Rc<Node>,
    target: Name,
}

impl Waiting {
    pub(crate) fn begin(node: &Rc<Node>, target: &Name, now: Instant) -> Self {
        node.outlook.borrow_mut().started(target, now);
        Self { node: node.clone(), target: target.clone() }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.node.outlook.borrow_mut().ended(&self.target, BootClock.now());
    }
}

/// Decides whether a call that was not sent yet is sent.
pub(crate) fn decide(node: &Node, call: &Call) -> Decision {
    let now = BootClock.now();
    let Some(service) = plain_service(node, call) else { return Decision::Send };
    let left = call.give_up_at.since(now);
    node.outlook.borrow().decide(&service, candidates(node, call, &[]), left, now)
}

/// Returns whether a call that the targets `tried` have refused is sent to another one.
pub(crate) fn goes_on(node: &Node, call: &Call, tried: &[Name]) -> bool {
    let Some(service) = plain_service(node, call) else { return true };
    node.outlook.borrow().goes_on(&service, candidates(node, call, tried), BootClock.now())
}

/// Chooses a target that a call was not sent to before: `probe` if that is given and can run the
/// call, else the best one that is not expected to fail.
pub(crate) fn choose(
    node: &Node,
    call: &Call,
    tried: &[Name],
    probe: Option<Name>,
) -> Option<Registration> {
    let Some(service) = plain_service(node, call) else { return call.choose(node, tried) };
    let candidates = candidates(node, call, tried);
    let chosen = node.outlook.borrow().choose(&service, candidates, BootClock.now());
    let id = probe.or_else(|| Some(chosen?.id))?;
    call.candidates(node, tried).find(|target| target.id == id)
}

/// Returns the targets in the order in which the attempts of a call would be sent to them.
pub(crate) fn order(node: &Node, call: &Call, most: usize) -> Vec<Registration> {
    let mut tried = Vec::new();
    let next = || {
        let target = choose(node, call, &tried, None)?;
        tried.push(target.id.clone());
        Some(target)
    };
    std::iter::from_fn(next).take(most).collect()
}

/// Returns the reply to a call that was refused before any target was asked.
pub(crate) fn refuse_at_once(node: &Node, call: &Call, refusal: &Refusal) -> Reply {
    record(node, call, refusal, AT_ONCE);
    let message = "no target is expected to answer in time; the request has not run";
    Reply::not_run(message, refusal.retry_after)
}

/// Returns the reply to a call that targets have refused, or `None` if the outlook does not
/// apply to it.
pub(crate) fn refuse_after_refusals(node: &Node, call: &Call) -> Option<Reply> {
    let now = BootClock.now();
    let service = plain_service(node, call)?;
    let left = call.give_up_at.since(now);
    let refusal =
        node.outlook.borrow().refusal(&service, candidates(node, call, &[]), left, now)?;
    record(node, call, &refusal, AFTER_REFUSALS);
    let message = "no target can take the request now; it has not run";
    Some(Reply::not_run(message, refusal.retry_after))
}

/// Returns the service of a call if the outlook applies to it.
fn plain_service(node: &Node, call: &Call) -> Option<Name> {
    let is_asked = call.origin == Origin::Caller && node.settings().scheduling.adaptive;
    // Without paths, what was observed of the targets may be about the paths.
    if !is_asked || node.paths.are_lost() {
        return None;
    }
    let name = pick_service(&call.route, &call.id);
    let deployment = node.view.deployment();
    let service = deployment.services.get(&name)?;
    service.models.is_empty().then_some(name)
}

fn candidates(node: &Node, call: &Call, tried: &[Name]) -> impl Iterator<Item = Candidate> {
    call.candidates(node, tried).map(|target| candidate(node, &target))
}

/// Returns what the outlook needs to know of a target beside its own observations.
pub(crate) fn candidate(node: &Node, target: &Registration) -> Candidate {
    let running = node.target_loads.borrow().get(&target.id).running;
    Candidate { id: target.id.clone(), running, slots: target.slots }
}

fn record(node: &Node, call: &Call, refusal: &Refusal, when: &'static str) {
    let reason = refusal.reason.to_string();
    node.metrics.refusals.with_label_values(&[&reason, when]).inc();
    let inputs: Vec<String> = refusal
        .estimates
        .iter()
        .map(|(target, estimate)| {
            format!(
                "{target}: {} age_ms={} running={}/{} room_in_ms={} burst_ms={}",
                estimate.evidence,
                estimate.age.as_millis(),
                estimate.running,
                estimate.slots,
                estimate.room_in.as_millis(),
                estimate.burst.as_millis(),
            )
        })
        .collect();
    let usual = refusal.estimates.first().map(|(_, estimate)| estimate.usual.as_millis());
    slog::info!(node.log, "call: refused without room"; "id" => &call.id,
        "route" => &*call.route.name, "when" => when, "reason" => reason,
        "left_ms" => call.give_up_at.since(BootClock.now()).as_millis(),
        "retry_after_ms" => refusal.retry_after.as_millis(),
        "usual_ms" => usual, "inputs" => inputs.join("; "));
}
