//! Forwards the calls of callers to targets, with hedging and retries.

use std::{rc::Rc, time::Duration};

use futures_util::{StreamExt, future::Either, stream::FuturesUnordered};
use monoio::time::{sleep, timeout};
use tamarackdock_types::clock::{BootClock, Clock, Instant};

use crate::{
    balance::{self, Requirements},
    batch::{ScoringCall, scoring, takeover},
    crash,
    deployment::{CallKind, Name, Route},
    forward,
    http::{Exchange, ExchangeError, Framing, Headers, RequestHead, Response, ResponseHead},
    node::Node,
    pool::Reuse,
    reply::Reply,
    server::Request,
    target::Registration,
};

/// Largest response of a target. It is buffered in memory.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Share of the latency objective after which an idempotent call is hedged: sent to
/// a second target as well. Targets of plain services are far from full, so a second
/// run costs little, and the rest of the objective is enough for it.
const HEDGE_SHARE: f64 = 0.4;
/// The same for scoring calls, whose objective is far longer than the pause of a step: a hedge
/// costs a connection, as the slower attempt is closed.
const SCORING_HEDGE_SHARE: f64 = 0.75;
/// Shortest time before a hedged attempt, so that calls with a normal latency are not
/// hedged.
const MIN_HEDGE: Duration = Duration::from_millis(20);
/// `Retry-After` of a refusal where no target gives one.
const RETRY_AFTER: Duration = Duration::from_millis(250);
/// Hop-by-hop header fields, and those that frame the body.
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
];

/// A caller's request that is to be sent to targets.
pub(crate) struct Call {
    pub(crate) id: String,
    pub(crate) route: Rc<Route>,
    pub(crate) account: Option<Name>,
    /// When the call is given up: the earlier of the caller's deadline and the timeout
    /// of the route.
    pub(crate) give_up_at: Instant,
    /// When the caller stops waiting, if the request says so.
    pub(crate) deadline: Option<Instant>,
    pub(crate) request: Request,
    pub(crate) origin: Origin,
}

/// Who sends a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Origin {
    /// A caller, who waits for the answer.
    Caller,
    /// The owner of a batch job, to score an item. It may run more than once and leaves room
    /// for the calls of callers.
    Scoring,
}

/// The result of sending a call to targets until one answered or the attempts were used up.
pub(crate) struct Dispatched {
    /// The last attempt that counts, or `None` if the time was up.
    pub(crate) last: Option<Attempt>,
    /// Whether any attempt may have run, which a refusal of a later one does not change.
    pub(crate) may_have_run: bool,
    /// Number of targets that answered with the status 500.
    pub(crate) failures: u32,
}

/// The result of sending a call to one target.
pub(crate) enum Attempt {
    /// The target ran the request and responded.
    Answered(Response),
    /// The request has certainly not run. Holds the target's `Retry-After`, if any.
    NotRun(Option<Duration>),
    /// The request may have run.
    Unknown(ExchangeError),
}

impl Call {
    /// Creates a call from an authorized request.
    pub(crate) fn new(
        node: &Node,
        request: Request,
        route: Rc<Route>,
        account: Option<Name>,
    ) -> Self {
        let fields = node.wire_format.fields();
        let wait = request.head.headers.number::<u64>(fields.deadline).map(Duration::from_millis);
        let deadline = wait.map(|wait| request.arrived + wait);
        let timeout = request.arrived + route.timeout;
        Self {
            id: request.head.headers.get(fields.request_id).unwrap_or_default().into(),
            give_up_at: deadline.map_or(timeout, |deadline| deadline.min(timeout)),
            deadline,
            route,
            account,
            request,
            origin: Origin::Caller,
        }
    }

    /// Creates the scoring call of an item. It has no client account.
    pub(crate) fn scoring(
        node: &Node,
        scoring: &ScoringCall,
        route: Rc<Route>,
        now: Instant,
        give_up_at: Instant,
    ) -> Self {
        let mut headers = Headers::default();
        headers.push("Host", scoring.host.as_bytes());
        headers.push(node.wire_format.fields().request_id, scoring.id.as_bytes());
        let head = RequestHead {
            method: "POST".into(),
            target: scoring.path.clone(),
            headers,
            keep_alive: true,
            framing: Framing::Length(scoring.body.len() as u64),
        };
        Self {
            id: scoring.id.as_ref().into(),
            route,
            account: None,
            give_up_at,
            deadline: Some(give_up_at),
            request: Request { head, body: scoring.body.clone(), arrived: now, _reservation: None },
            origin: Origin::Scoring,
        }
    }

    /// Returns whether the call may run more than once.
    fn may_repeat(&self) -> bool {
        self.origin == Origin::Scoring || self.route.kind == CallKind::Idempotent
    }

    /// Returns the header fields to send to a target.
    pub(crate) fn headers(&self, node: &Node, target: &Registration, now: Instant) -> Headers {
        let fields = node.wire_format.fields();
        let source = &self.request.head.headers;
        let replaced = [fields.key, fields.account, fields.expected_target, fields.deadline];
        let mut headers = Headers::default();
        for (name, value) in source.iter() {
            let dropped = is_hop_by_hop(source, name)
                || replaced.iter().any(|field| field.eq_ignore_ascii_case(name));
            if !dropped {
                headers.push(name, value);
            }
        }
        let left = self.deadline.unwrap_or(self.give_up_at).since(now).as_millis();
        headers.push(fields.deadline, left.to_string());
        headers.push(fields.expected_target, target.id.as_bytes());
        if let Some(account) = &self.account {
            headers.push(fields.account, account.as_bytes());
        }
        if !self.request.body.is_empty() {
            headers.push("Content-Length", self.request.body.len().to_string());
        }
        headers
    }

    /// Chooses a target that the call was not sent to before.
    pub(crate) fn choose(&self, node: &Node, tried: &[Name]) -> Option<Registration> {
        let now = BootClock.now();
        let deployment = node.view.deployment();
        let name = pick_service(&self.route, &self.id);
        let service = deployment.services.get(&name)?;
        let targets = node.view.targets.borrow();
        let evacuated = node.view.evacuated.borrow();
        let live = node.members.live();
        let requirements = Requirements {
            service: &name,
            data_centre: &node.data_centre,
            tried,
            reserved_slots: match self.origin {
                Origin::Caller => 0,
                Origin::Scoring => scoring::RESERVED_SLOTS,
            },
            node_rank: &|target| takeover::caller_rank(target, &node.members.own, &live),
        };
        let loads = node.target_loads.borrow();
        let is_evacuated = |data_centre: &str| evacuated.contains(data_centre);
        balance::choose(&requirements, targets.iter(), &loads, service, is_evacuated, now)
            .map(|target| target.registration.clone())
    }
}

/// Returns one of the services of a route, distributed by their weights. The same
/// call id always gets the same service.
pub(crate) fn pick_service(route: &Route, id: &str) -> Name {
    let total: u32 = route.services.iter().map(|(_, weight)| weight).sum();
    let mut point = fingerprint(id.as_bytes()) % u64::from(total.max(1));
    for (name, weight) in &route.services {
        match point.checked_sub(u64::from(*weight)) {
            None => return name.clone(),
            Some(rest) => point = rest,
        }
    }
    route.services.first().map_or_else(|| "".into(), |(name, _)| name.clone())
}

/// Returns a hash that is the same on all nodes: FNV-1a with the finalizer of
/// `MurmurHash3`, because the FNV hashes of similar texts alone sort alike.
pub(crate) fn fingerprint(bytes: &[u8]) -> u64 {
    let mut hash = bytes.iter().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}

/// Returns whether a header field is for one connection only and not forwarded.
pub(crate) fn is_hop_by_hop(headers: &Headers, name: &str) -> bool {
    HOP_BY_HOP.iter().any(|hop| hop.eq_ignore_ascii_case(name))
        || headers.has_token("connection", name)
}

/// Serves a call whose response is not a stream.
pub(crate) async fn serve(node: &Rc<Node>, call: &Call) -> Reply {
    let dispatched = dispatch(node, call).await;
    match dispatched.last {
        Some(last) => final_reply(last, dispatched.may_have_run),
        None => Reply::error(504, "no target answered in time"),
    }
}

/// Sends a call to targets. A call that may be repeated is hedged and retried on other
/// targets. Any other call is retried only after attempts that certainly did not run it.
pub(crate) async fn dispatch(node: &Rc<Node>, call: &Call) -> Dispatched {
    let may_repeat = call.may_repeat();
    let hedge_share = match call.origin {
        Origin::Caller => HEDGE_SHARE,
        Origin::Scoring => SCORING_HEDGE_SHARE,
    };
    let hedge = call.route.objective.mul_f64(hedge_share).max(MIN_HEDGE);
    let mut tried: Vec<Name> = Vec::new();
    let mut running = FuturesUnordered::new();
    let mut last = Attempt::NotRun(None);
    let mut may_have_run = false;
    let mut failures = 0;
    loop {
        let attempts_left = tried.len() < call.route.attempts.max(1) as usize;
        let may_start = attempts_left && (may_repeat || (running.is_empty() && !may_have_run));
        if may_start && let Some(target) = call.choose(node, &tried) {
            tried.push(target.id.clone());
            running.push(attempt(node, call, target, tried.len() == 1));
        }
        if running.is_empty() {
            break;
        }
        let left = call.give_up_at.since(BootClock.now());
        let more_attempts = may_repeat && tried.len() < call.route.attempts as usize;
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
            Ok(Some(outcome)) => {
                may_have_run |= matches!(outcome, Attempt::Unknown(_));
                if !matches!(last, Attempt::Answered(_)) {
                    last = outcome;
                }
            }
            Ok(None) => break,
            Err(_) if BootClock.now() >= call.give_up_at => {
                slog::info!(node.log, "call: deadline exceeded"; "id" => &call.id,
                    "route" => &*call.route.name, "tried" => tried.join(","),
                    "running" => running.len());
                return Dispatched { last: None, may_have_run: true, failures };
            }
            Err(_) => {}
        }
    }
    Dispatched { last: Some(last), may_have_run, failures }
}

/// Returns the response to a caller after the last attempt. `may_have_run` says
/// whether any attempt may have run, which a refusal of a later one does not change.
pub(crate) fn final_reply(last: Attempt, may_have_run: bool) -> Reply {
    match last {
        Attempt::Answered(response) => forward(response),
        Attempt::NotRun(after) if !may_have_run => Reply::not_run(
            "no target can take the request now; it has not run",
            after.unwrap_or(RETRY_AFTER),
        ),
        Attempt::NotRun(_) | Attempt::Unknown(_) => {
            Reply::error(502, "the connection to the target broke; the request may have run")
        }
    }
}

/// Sends a call to a target, and records the outcome.
async fn attempt(node: &Rc<Node>, call: &Call, target: Registration, is_first: bool) -> Attempt {
    let began = BootClock.now();
    let guard = node.start_request(&target.id, began);
    // Later attempts go directly, in case the node that forwards is the one in trouble.
    let may_forward = is_first && call.origin == Origin::Caller && call.may_repeat();
    let forwarded = if may_forward { forward::send(node, call, &target).await } else { None };
    let is_forwarded = forwarded.is_some();
    let outcome = match forwarded {
        Some(Ok(response)) => {
            node.observe_answer(&target, &response.head.headers);
            classify_answer(&node.wire_format.fields(), &call.id, response)
        }
        Some(Err(error)) => Attempt::Unknown(error),
        None => exchange(node, call, &target).await,
    };
    drop(guard);
    let now = BootClock.now();
    let (name, failure) = match &outcome {
        Attempt::Answered(_) => ("answered", None),
        Attempt::NotRun(_) => ("not_run", None),
        Attempt::Unknown(error) => ("unknown", Some(error.to_string())),
    };
    match &outcome {
        Attempt::NotRun(_) => node.target_loads.borrow_mut().mark_full(&target.id, now),
        Attempt::Unknown(error) => {
            node.target_loads.borrow_mut().mark_suspect(&target.id, now);
            // Scoring calls have a growing pause of their own.
            if *error == ExchangeError::ConnectionLost && call.origin == Origin::Caller {
                let request = crash::request_fingerprint(call);
                // A target that restarts under the same id counts as a different one.
                let run = format!("{}#{}", target.id, target.started.unwrap_or_default());
                monoio::spawn(crash::record(node.clone(), request, run));
            }
        }
        Attempt::Answered(_) => {}
    }
    if let (Attempt::Answered(_) | Attempt::Unknown(_), Some(account)) = (&outcome, &call.account) {
        node.count_usage(account, began);
    }
    node.metrics.attempts.with_label_values(&[name]).inc();
    slog::info!(node.log, "call: attempt"; "id" => &call.id, "target" => &*target.id,
        "outcome" => name, "failure" => failure, "forwarded" => is_forwarded, "ms" => now.since(began).as_millis());
    outcome
}

/// Sends a call to a target and reads the response.
async fn exchange(node: &Rc<Node>, call: &Call, target: &Registration) -> Attempt {
    let fields = node.wire_format.fields();
    let reuse = match call.origin {
        Origin::Caller => Reuse::Newest,
        Origin::Scoring => Reuse::Oldest,
    };
    let Ok((mut connection, _)) = node.pool.connect(target, reuse).await else {
        return Attempt::NotRun(None);
    };
    let headers = call.headers(node, target, BootClock.now());
    let head = &call.request.head;
    let sent =
        Exchange::begin(&mut connection, &head.method, &head.target, &headers, &call.request.body);
    let received = match sent.await {
        Ok(exchange) => {
            node.observe_answer(target, &exchange.head().headers);
            exchange.collect_within(MAX_RESPONSE_BYTES, &node.response_budget).await
        }
        Err(error) => Err(error),
    };
    match received {
        Ok((response, reusable)) => {
            let headers = response.head.headers.clone();
            let attempt = classify_answer(&fields, &call.id, response);
            // After an answer to another request, the one to this request may follow.
            if reusable && !matches!(attempt, Attempt::Unknown(_)) {
                node.pool.put(&target.id, connection, &headers);
            }
            attempt
        }
        Err(ExchangeError::NotSent) => Attempt::NotRun(None),
        Err(error) => Attempt::Unknown(error),
    }
}

/// Decides from a complete response whether the target ran the request.
pub(crate) fn classify_answer(
    fields: &crate::wire_format::HeaderFields,
    id: &str,
    response: Response,
) -> Attempt {
    let headers = &response.head.headers;
    let refused = response.head.status == 421 || headers.get(fields.not_run).is_some();
    let same_id = headers.get(fields.request_id).is_some_and(|echo| echo == id);
    let signed = headers.get(fields.signature).is_some();
    match () {
        () if refused && (same_id || headers.get(fields.request_id).is_none()) => {
            let after = headers.number::<f64>("retry-after");
            Attempt::NotRun(after.and_then(|after| Duration::try_from_secs_f64(after).ok()))
        }
        () if !same_id || !signed || headers.get("content-encoding").is_some() => {
            Attempt::Unknown(ExchangeError::Malformed)
        }
        () => Attempt::Answered(response),
    }
}

/// Returns a target's response for the caller, unchanged but for hop-by-hop fields.
fn forward(response: Response) -> Reply {
    let headers = end_to_end_headers(&response.head);
    Reply { status: response.head.status, headers, body: response.body, close: false }
}

/// Returns the header fields of a response without the hop-by-hop ones.
pub(crate) fn end_to_end_headers(head: &ResponseHead) -> Headers {
    let mut headers = Headers::default();
    let kept = head.headers.iter().filter(|(name, _)| !is_hop_by_hop(&head.headers, name));
    for (name, value) in kept {
        headers.push(name, value);
    }
    headers
}

/// Waits for a future, or returns `None` at a deadline.
pub(crate) async fn timeout_at<T>(deadline: Instant, future: impl Future<Output = T>) -> Option<T> {
    let expired = sleep(deadline.since(BootClock.now()));
    futures_util::pin_mut!(expired, future);
    match futures_util::future::select(future, expired).await {
        Either::Left((value, _)) => Some(value),
        Either::Right(_) => None,
    }
}
