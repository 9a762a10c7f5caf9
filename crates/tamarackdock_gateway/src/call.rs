//! Calls to targets on behalf of callers.

use std::{rc::Rc, time::Duration};

use futures_util::{StreamExt, future::Either, stream::FuturesUnordered};
use monoio::time::{sleep, timeout};
use tamarackdock_types::clock::{BootClock, Clock, Instant};

use crate::{
    balance::{self, Need},
    batch::adopt,
    crash,
    deployment::{Name, Repeat, Route},
    http::{Answer, Exchange, Failure, Headers, ResponseHead},
    node::Node,
    reply::Reply,
    server::Request,
    target::Registration,
};

/// Largest whole response that is kept in memory, in bytes.
const MAX_ANSWER: usize = 16 * 1024 * 1024;
/// Share of the latency objective after which an idempotent call is sent to a
/// second target. Targets of plain services are far from full, so that a second
/// run costs little, and the rest of the objective suffices for it.
const HEDGE_SHARE: f64 = 0.4;
/// Least time before a second attempt, so that it doesn't follow normal answers.
const MIN_HEDGE: Duration = Duration::from_millis(20);
/// When to come back after a refusal where no target names a time.
const RETRY_AFTER: Duration = Duration::from_millis(250);
/// Fields that concern one connection, and the framing of the body.
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

/// A call on its way to a target.
pub(crate) struct Call {
    pub(crate) id: String,
    pub(crate) route: Rc<Route>,
    pub(crate) account: Option<Name>,
    /// When the caller or the operator want a final answer.
    pub(crate) until: Instant,
    /// When the caller stops waiting, if it said so.
    pub(crate) deadline: Option<Instant>,
    pub(crate) request: Request,
}

/// How an attempt on a target ended.
pub(crate) enum Attempt {
    /// The target answered.
    Answered(Answer),
    /// The target or the way to it proves that the request did not run.
    NotRun(Option<Duration>),
    /// The request may have run.
    Unknown(Failure),
}

impl Call {
    /// Makes a call from a request that is allowed.
    pub(crate) fn new(
        node: &Node,
        request: Request,
        route: Rc<Route>,
        account: Option<Name>,
    ) -> Self {
        let fields = node.dialect.fields();
        let waits = request.head.headers.number::<u64>(fields.deadline).map(Duration::from_millis);
        let deadline = waits.map(|waits| request.arrived + waits);
        let timeout = request.arrived + route.timeout;
        Self {
            id: request.head.headers.get(fields.request_id).unwrap_or_default().into(),
            until: deadline.map_or(timeout, |deadline| deadline.min(timeout)),
            deadline,
            route,
            account,
            request,
        }
    }

    /// Returns the header fields for a target.
    pub(crate) fn headers(&self, node: &Node, target: &Registration, now: Instant) -> Headers {
        let fields = node.dialect.fields();
        let source = &self.request.head.headers;
        let own = [fields.key, fields.account, fields.expected_target, fields.deadline];
        let mut headers = Headers::default();
        for (name, value) in source.iter() {
            let dropped = is_hop_by_hop(source, name)
                || own.iter().any(|field| field.eq_ignore_ascii_case(name));
            if !dropped {
                headers.push(name, value);
            }
        }
        let left = self.deadline.unwrap_or(self.until).since(now).as_millis();
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

    /// Chooses a target that was not tried yet.
    pub(crate) fn choose(&self, node: &Node, tried: &[Name]) -> Option<Registration> {
        let now = BootClock.now();
        let deployment = node.beliefs.deployment();
        let name = pick_service(&self.route, &self.id);
        let service = deployment.services.get(&name)?;
        let targets = node.beliefs.targets.borrow();
        let evacuated = node.beliefs.evacuated.borrow();
        let live = node.members.live();
        let need = Need {
            service: &name,
            data_centre: &node.data_centre,
            tried,
            place: &|target| adopt::place(target, &node.members.own, &live),
        };
        let loads = node.loads.borrow();
        let is_out = |data_centre: &str| evacuated.contains(data_centre);
        balance::choose(&need, targets.iter(), &loads, service, is_out, now)
            .map(|target| target.registration.clone())
    }
}

/// Returns one of the services of a route by its weights. The same call always
/// gets the same service.
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

/// Returns a hash of some bytes, the same on all nodes: FNV-1a with the
/// finalizer of `MurmurHash3`, as FNV alone orders similar texts alike.
pub(crate) fn fingerprint(bytes: &[u8]) -> u64 {
    let mut hash = bytes.iter().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}

/// Returns whether a field concerns one connection only.
pub(crate) fn is_hop_by_hop(headers: &Headers, name: &str) -> bool {
    HOP_BY_HOP.iter().any(|hop| hop.eq_ignore_ascii_case(name)) || headers.lists("connection", name)
}

/// Serves a call whose answer is not a stream.
pub(crate) async fn serve(node: &Rc<Node>, call: &Call) -> Reply {
    let may_repeat = call.route.repeat == Repeat::Idempotent;
    let hedge = call.route.objective.mul_f64(HEDGE_SHARE).max(MIN_HEDGE);
    let mut tried: Vec<Name> = Vec::new();
    let mut running = FuturesUnordered::new();
    let mut last = Attempt::NotRun(None);
    let mut unknown = false;
    loop {
        let attempts_left = tried.len() < call.route.attempts.max(1) as usize;
        let may_start = attempts_left && (may_repeat || (running.is_empty() && !unknown));
        if may_start && let Some(target) = call.choose(node, &tried) {
            tried.push(target.id.clone());
            running.push(attempt(node, call, target));
        }
        if running.is_empty() {
            break;
        }
        let left = call.until.since(BootClock.now());
        let more = may_repeat && tried.len() < call.route.attempts as usize;
        let pause = if more { left.min(hedge) } else { left };
        match timeout(pause, running.next()).await {
            Ok(Some(Attempt::Answered(answer))) => {
                let retry = answer.head.status >= 500 && more;
                if !retry {
                    return forward(answer);
                }
                last = Attempt::Answered(answer);
            }
            Ok(Some(outcome)) => {
                unknown |= matches!(outcome, Attempt::Unknown(_));
                if !matches!(last, Attempt::Answered(_)) {
                    last = outcome;
                }
            }
            Ok(None) => break,
            Err(_) if BootClock.now() >= call.until => {
                slog::info!(node.log, "call: out of time"; "id" => &call.id,
                    "route" => &*call.route.name, "tried" => tried.join(","),
                    "running" => running.len());
                return Reply::error(504, "no target answered in time");
            }
            Err(_) => {}
        }
    }
    conclude(last, unknown)
}

/// Returns the answer to a caller after the last attempt. `may_have_run` says
/// whether any attempt may have run, which a later refusal doesn't undo.
pub(crate) fn conclude(last: Attempt, may_have_run: bool) -> Reply {
    match last {
        Attempt::Answered(answer) => forward(answer),
        Attempt::NotRun(after) if !may_have_run => Reply::not_run(
            "no target can take the request now; it has not run",
            after.unwrap_or(RETRY_AFTER),
        ),
        Attempt::NotRun(_) | Attempt::Unknown(_) => {
            Reply::error(502, "the connection to the target broke; the request may have run")
        }
    }
}

/// Sends a call to a target.
async fn attempt(node: &Rc<Node>, call: &Call, target: Registration) -> Attempt {
    let began = BootClock.now();
    let guard = node.begin(&target.id, began);
    let outcome = exchange(node, call, &target).await;
    drop(guard);
    let now = BootClock.now();
    let (name, failure) = match &outcome {
        Attempt::Answered(_) => ("answered", None),
        Attempt::NotRun(_) => ("not_run", None),
        Attempt::Unknown(failure) => ("unknown", Some(failure.to_string())),
    };
    match &outcome {
        Attempt::NotRun(_) => node.loads.borrow_mut().full(&target.id, now),
        Attempt::Unknown(failure) => {
            node.loads.borrow_mut().suspect(&target.id, now);
            if *failure == Failure::Broken {
                let request = crash::fingerprint_of(call);
                // A target that starts again under its id is another one.
                let run = format!("{}#{}", target.id, target.started.unwrap_or_default());
                monoio::spawn(crash::report(node.clone(), request, run));
            }
        }
        Attempt::Answered(_) => {}
    }
    if let (Attempt::Answered(_) | Attempt::Unknown(_), Some(account)) = (&outcome, &call.account) {
        node.count_usage(account, began);
    }
    node.metrics.attempts.with_label_values(&[name]).inc();
    slog::info!(node.log, "call: attempt"; "id" => &call.id, "target" => &*target.id,
        "outcome" => name, "failure" => failure, "ms" => now.since(began).as_millis());
    outcome
}

async fn exchange(node: &Rc<Node>, call: &Call, target: &Registration) -> Attempt {
    let fields = node.dialect.fields();
    let Ok(mut connection) = node.pool.connect(target).await else {
        return Attempt::NotRun(None);
    };
    let headers = call.headers(node, target, BootClock.now());
    let head = &call.request.head;
    let sent =
        Exchange::begin(&mut connection, &head.method, &head.target, &headers, &call.request.body);
    let whole = match sent.await {
        Ok(exchange) => exchange.collect(MAX_ANSWER).await,
        Err(failure) => Err(failure),
    };
    match whole {
        Ok((answer, reusable)) => {
            if reusable {
                node.pool.put(&target.id, connection, &answer.head.headers);
            }
            judge(&fields, &call.id, answer)
        }
        Err(Failure::NotSent) => Attempt::NotRun(None),
        Err(failure) => Attempt::Unknown(failure),
    }
}

/// Decides what a whole response proves.
pub(crate) fn judge(fields: &crate::dialect::Fields, id: &str, answer: Answer) -> Attempt {
    let headers = &answer.head.headers;
    let refused = answer.head.status == 421 || headers.get(fields.not_run).is_some();
    let own = headers.get(fields.request_id).is_some_and(|echo| echo == id);
    let signed = headers.get(fields.signature).is_some();
    match () {
        () if refused && (own || headers.get(fields.request_id).is_none()) => {
            let after = headers.number::<f64>("retry-after");
            Attempt::NotRun(after.and_then(|after| Duration::try_from_secs_f64(after).ok()))
        }
        () if !own || !signed || headers.get("content-encoding").is_some() => {
            Attempt::Unknown(Failure::Malformed)
        }
        () => Attempt::Answered(answer),
    }
}

/// Returns a target's answer as it is.
fn forward(answer: Answer) -> Reply {
    let headers = forwarded(&answer.head);
    Reply { status: answer.head.status, headers, body: answer.body, close: false }
}

/// Returns the header fields of a response that are for the caller.
pub(crate) fn forwarded(head: &ResponseHead) -> Headers {
    let mut headers = Headers::default();
    let own = head.headers.iter().filter(|(name, _)| !is_hop_by_hop(&head.headers, name));
    for (name, value) in own {
        headers.push(name, value);
    }
    headers
}

/// Waits for a future until a time.
pub(crate) async fn until<T>(at: Instant, future: impl Future<Output = T>) -> Option<T> {
    let expired = sleep(at.since(BootClock.now()));
    futures_util::pin_mut!(expired, future);
    match futures_util::future::select(future, expired).await {
        Either::Left((value, _)) => Some(value),
        Either::Right(_) => None,
    }
}
