//! Sends calls to targets, with hedging and retries.

use std::{cell::Cell, rc::Rc, time::Duration};

use futures_util::{StreamExt, stream::FuturesUnordered};
use monoio::time::timeout;
use tamarackdock_admit::outlook::Decision;
use tamarackdock_types::clock::{BootClock, Clock, Instant};

use crate::{
    call::{Attempt, Call, classify_answer, final_reply},
    crash::{self, Break},
    deployment::Name,
    http::ExchangeError,
    limit::permits,
    node::Node,
    origin::Origin,
    outlook::{self, Waiting},
    pace,
    path::{self, Choice, Request},
    reply::Reply,
    target::Registration,
};

/// Largest response of a target. It is buffered in memory.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Shortest time before a hedged attempt, so that calls with a normal latency are not
/// hedged.
const MIN_HEDGE: Duration = Duration::from_millis(20);

/// Share of the latency objective for which an attempt waits for a permit: less than the time
/// after which a call is hedged, and short enough for the objective to be kept.
pub(crate) const PERMIT_WAIT_SHARE: f64 = 0.25;
/// Most targets whose limiters refuse a permit for a call. Those that are known to refuse come
/// last, so that the others hardly have more room.
pub(crate) const MAX_WITHHELD: usize = 3;

/// What came of the attempts of a call, until a target answered or they were used up.
pub(crate) struct Summary {
    /// The last attempt that counts, or `None` if the time was up.
    pub(crate) last: Option<Attempt>,
    /// Whether any attempt may have run, which a refusal of a later one does not change.
    pub(crate) may_have_run: bool,
    /// Number of targets that answered with the status 500.
    pub(crate) failures: u32,
}

/// Serves a call whose response is not a stream.
pub(crate) async fn serve(node: &Rc<Node>, call: &Call) -> Reply {
    let probe = match outlook::decide(node, call) {
        Decision::Send => None,
        Decision::Probe { target } => Some(target),
        Decision::Refuse(refusal) => return outlook::refuse_at_once(node, call, &refusal),
    };
    let attempts = send_to(node, call, probe).await;
    match attempts.last {
        Some(Attempt::NotRun(after)) if !attempts.may_have_run => {
            let refused = outlook::refuse_after_refusals(node, call);
            refused.unwrap_or_else(|| final_reply(Attempt::NotRun(after), false))
        }
        Some(last) => final_reply(last, attempts.may_have_run),
        None => Reply::error(504, "no target answered in time"),
    }
}

/// Sends a call to targets. A call that may be repeated is hedged and retried on other
/// targets. Any other call is retried only after attempts that certainly did not run it.
pub(crate) async fn send(node: &Rc<Node>, call: &Call) -> Summary {
    send_to(node, call, None).await
}

/// Sends a call as [`send`] does, first to the target `probe` if that is given and can run it.
async fn send_to(node: &Rc<Node>, call: &Call, mut probe: Option<Name>) -> Summary {
    let may_repeat = call.may_repeat();
    let hedge = call.route.objective.mul_f64(call.origin.hedge_share()).max(MIN_HEDGE);
    let mut tried: Vec<Name> = Vec::new();
    let mut running = FuturesUnordered::new();
    let mut last = Attempt::NotRun(None);
    let mut may_have_run = false;
    let mut failures = 0;
    let mut withheld = 0;
    let began = BootClock.now();
    loop {
        let attempts_left = tried.len() - withheld < call.route.attempts.max(1) as usize;
        let may_start = attempts_left
            && withheld < MAX_WITHHELD
            && (may_repeat || (running.is_empty() && !may_have_run));
        // Only refusals so far: a further attempt that would just wait is left to the caller.
        let is_refused = matches!(last, Attempt::NotRun(_)) && running.is_empty() && !may_have_run;
        if may_start && is_refused && !tried.is_empty() && !outlook::goes_on(node, call, &tried) {
            break;
        }
        if may_start && let Some(target) = outlook::choose(node, call, &tried, probe.take()) {
            tried.push(target.id.clone());
            // Later attempts take another path if nothing has come over this node's own.
            let choice = match tried.len() {
                1 if may_repeat && call.origin == Origin::Caller => Choice::Shared,
                2.. if may_repeat && node.paths.are_silent_since(began) => Choice::Detour,
                _ => Choice::Own,
            };
            running.push(attempt(node, call, target, choice));
        }
        if running.is_empty() {
            break;
        }
        let left = call.give_up_at.since(BootClock.now());
        let more_attempts = may_repeat && tried.len() - withheld < call.route.attempts as usize;
        let pause = if more_attempts { left.min(hedge) } else { left };
        match timeout(pause, running.next()).await {
            Ok(Some(Attempt::Answered(response))) => {
                failures += u32::from(response.head.status == 500);
                let retry = response.head.status >= 500 && more_attempts;
                last = Attempt::Answered(response);
                if !retry {
                    break;
                }
            }
            Ok(Some(Attempt::NoPath)) => {
                if !matches!(last, Attempt::Answered(_)) {
                    last = Attempt::NoPath;
                }
                // No node has a path to other targets either.
                if running.is_empty() {
                    break;
                }
            }
            Ok(Some(Attempt::Unknown(ExchangeError::TimedOut))) | Err(_)
                if BootClock.now() >= call.give_up_at =>
            {
                slog::info!(node.log, "call: deadline exceeded"; "id" => &call.id,
                    "route" => &*call.route.name, "tried" => tried.join(","),
                    "running" => running.len());
                return Summary { last: None, may_have_run: true, failures };
            }
            Ok(Some(outcome)) => {
                may_have_run |= matches!(outcome, Attempt::Unknown(_));
                withheld += usize::from(matches!(outcome, Attempt::Withheld(_)));
                if !matches!(last, Attempt::Answered(_)) {
                    last = outcome;
                }
            }
            Ok(None) => break,
            Err(_) => {}
        }
    }
    Summary { last: Some(last), may_have_run, failures }
}

/// Sends a call to a target, and records the outcome.
async fn attempt(node: &Rc<Node>, call: &Call, target: Registration, choice: Choice) -> Attempt {
    let began = BootClock.now();
    let guard = node.start_request(&target.id, began);
    let is_forwarded = Cell::new(false);
    let outcome = exchange(node, call, &target, choice, &is_forwarded).await;
    drop(guard);
    let now = BootClock.now();
    let (name, failure) = match &outcome {
        Attempt::Answered(_) => ("answered", None),
        Attempt::NotRun(_) => ("not_run", None),
        Attempt::NoPath => ("no_path", None),
        Attempt::Withheld(_) => ("withheld", None),
        Attempt::Unknown(error) => ("unknown", Some(error.to_string())),
    };
    match &outcome {
        Attempt::NotRun(_) => {
            node.target_loads.borrow_mut().refuse_call(&target, call.origin, now);
        }
        Attempt::Unknown(error) if error.blames_target() && *error != ExchangeError::TimedOut => {
            node.outlook.borrow_mut().broke(&target.id, now);
            node.target_loads.borrow_mut().mark_suspect(&target.id, now);
            pace::record_error(node, &target.id, *error, now);
            crash::observe(node, call, &target, *error, Break::AtOnce);
        }
        Attempt::Answered(response) if response.head.status < 300 => crash::acquit(node, call),
        Attempt::Answered(_) | Attempt::NoPath | Attempt::Withheld(_) | Attempt::Unknown(_) => {}
    }
    if let (Attempt::Answered(_) | Attempt::Unknown(_), Some(account)) = (&outcome, &call.account) {
        node.count_usage(account, began);
    }
    if matches!(outcome, Attempt::Answered(_)) {
        pace::record_call(node, &target, began, now);
    }
    node.metrics.attempts.with_label_values(&[name]).inc();
    slog::info!(node.log, "call: attempt"; "id" => &call.id, "target" => &*target.id,
        "outcome" => name, "failure" => failure,
        "path" => if is_forwarded.get() { "peer" } else { "own" }, "ms" => now.since(began).as_millis());
    outcome
}

/// Sends a call to a target and reads the response. Sets whether another node forwards it.
async fn exchange(
    node: &Rc<Node>,
    call: &Call,
    target: &Registration,
    choice: Choice,
    is_forwarded: &Cell<bool>,
) -> Attempt {
    let fields = node.wire_format.fields();
    let longest_wait = call.route.objective.mul_f64(PERMIT_WAIT_SHARE);
    if let Err(after) = permits::acquire(node, target, call.origin.demand(), longest_wait).await {
        return Attempt::Withheld(after);
    }
    let sent_at = BootClock.now();
    let _waiting = Waiting::begin(node, &target.id, sent_at);
    let head = &call.request.head;
    let request = Request {
        id: &call.id,
        method: &head.method,
        path: &head.target,
        headers: &|now| call.headers(node, target, now),
        body: &call.request.body,
        permission: call.permission(node),
        job_route: None,
        send_by: call.give_up_at,
        give_up_at: call.give_up_at,
        can_repeat: call.may_repeat(),
    };
    let sent = path::send(node, target, &request, choice, call.origin.reuse()).await;
    is_forwarded.set(sent.is_forwarded);
    let link = match sent.checked(node).await {
        Ok(link) => link,
        Err(ExchangeError::NotSent) => {
            // The connection could not be opened. Another node would say so for its own reasons.
            if !is_forwarded.get() {
                node.outlook.borrow_mut().broke(&target.id, BootClock.now());
            }
            return Attempt::NotRun(None);
        }
        Err(ExchangeError::NoPath) => return Attempt::NoPath,
        Err(error) => return Attempt::Unknown(error),
    };
    node.observe_answer(target, link.head(), &call.id, sent_at);
    match link.collect(node, MAX_RESPONSE_BYTES, call.give_up_at).await {
        Ok((response, link)) => {
            let attempt = classify_answer(&fields, &call.id, response);
            observe(node, target, &attempt, sent_at);
            // After an answer to another request, the one to this request may follow.
            if !matches!(attempt, Attempt::Unknown(_)) {
                link.keep(node);
            }
            attempt
        }
        Err(error) => Attempt::Unknown(error),
    }
}

/// Tells the outlook what the complete answer of a target says.
fn observe(node: &Node, target: &Registration, answer: &Attempt, sent_at: Instant) {
    let now = BootClock.now();
    let mut outlook = node.outlook.borrow_mut();
    match answer {
        Attempt::NotRun(after) => outlook.refused(&target.id, *after, now),
        Attempt::Answered(response) => {
            // Errors can be faster than the usual work.
            let took = (response.head.status < 300).then(|| now.since(sent_at));
            outlook.answered(&target.service, &target.id, took, now);
        }
        Attempt::NoPath | Attempt::Withheld(_) | Attempt::Unknown(_) => {}
    }
}
