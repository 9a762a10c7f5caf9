//! The calls of callers and of scoring, and what the answers of targets mean for them.

use std::{cmp::Ordering, rc::Rc, time::Duration};

use futures_util::future::Either;
use monoio::time::sleep;
use tamarackdock_types::clock::{BootClock, Clock, Instant};

use crate::{
    balance::{self, LeftOut, LimitState, Requirements, TargetLoads},
    batch::{ScoringCall, takeover},
    deployment::{CallKind, Name, Route, Service},
    grace::{Repeat, Work},
    http::{ExchangeError, Framing, Headers, RequestHead, Response, ResponseHead},
    node::Node,
    origin::Origin,
    pace,
    path::Permission,
    reply::Reply,
    server::Request,
    target::{Registration, Software, Target, TargetList},
    wire_format::HeaderFields,
};

/// `Retry-After` of a refusal where no target gives one.
const RETRY_AFTER: Duration = Duration::from_millis(250);
/// `Retry-After` while no node has a path to the targets: the time between two attempts to get one
/// back.
const RETRY_NO_PATH: Duration = tamarackdock_path::PROBE_INTERVAL;
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

/// The result of sending a call to one target.
pub(crate) enum Attempt {
    /// The target ran the request and responded.
    Answered(Response),
    /// The request has certainly not run. Holds the target's `Retry-After`, if any.
    NotRun(Option<Duration>),
    /// The request was not sent, since neither this node nor another one has a path to the target.
    NoPath,
    /// The request was not sent, since the target's limit leaves no room for it. Holds the time
    /// after which there is room.
    Withheld(Duration),
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
    pub(crate) fn may_repeat(&self) -> bool {
        self.origin == Origin::Scoring || self.route.kind == CallKind::Idempotent
    }

    /// Returns what is known of the time that the call takes.
    pub(crate) fn work(&self) -> Work {
        let repeat = match self.route.kind {
            CallKind::Batch => return Work::BATCH,
            CallKind::Idempotent => Repeat::Whole { usual: self.route.objective },
            CallKind::Stream { resumable: true } => Repeat::Continued,
            CallKind::AtMostOnce | CallKind::Stream { resumable: false } => Repeat::Never,
        };
        Work { gives_up_at: Some(self.give_up_at), repeat }
    }

    /// Returns what permits the call to run.
    pub(crate) fn permission(&self, node: &Node) -> Permission {
        match self.origin {
            Origin::Caller => {
                let key = self.request.head.headers.get(node.wire_format.fields().key);
                Permission::Key(key.map(Into::into))
            }
            Origin::Scoring => Permission::Job,
        }
    }

    /// Returns the header fields to send to a target.
    pub(crate) fn headers(&self, node: &Node, target: &Registration, now: Instant) -> Headers {
        let fields = node.wire_format.fields();
        let source = &self.request.head.headers;
        let replaced = [fields.key, fields.account, fields.expected_target, fields.deadline];
        // That of a stream moves on with the events that were sent.
        let is_stream = matches!(self.route.kind, CallKind::Stream { .. });
        let replaced_event = if is_stream { fields.last_event } else { "" };
        let hop_by_hop = HopByHop::of(source);
        let mut headers = Headers::default();
        for (name, value) in source.iter() {
            let dropped = hop_by_hop.contains(name)
                || replaced.iter().any(|field| field.eq_ignore_ascii_case(name))
                || replaced_event.eq_ignore_ascii_case(name);
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
        self.choose_of(node, None, tried)
    }

    /// Returns the targets that can run the call now and that it was not sent to before, in the
    /// order in which they would be tried.
    pub(crate) fn candidates(
        &self,
        node: &Node,
        tried: &[Name],
    ) -> impl Iterator<Item = Registration> {
        let mut seen = tried.to_vec();
        std::iter::from_fn(move || {
            let target = self.choose(node, &seen)?;
            seen.push(target.id.clone());
            Some(target)
        })
    }

    /// Chooses a target that the call was not sent to before. If the call goes on with a stream,
    /// only targets of the software that began it are considered.
    pub(crate) fn choose_of(
        &self,
        node: &Node,
        software: Option<&Software>,
        tried: &[Name],
    ) -> Option<Registration> {
        self.weigh(node, software, tried, |inputs| {
            let Inputs { requirements, targets, loads, service, is_evacuated, now } = inputs;
            balance::choose(requirements, targets.iter(), loads, service, is_evacuated, *now)
                .map(|target| target.registration.clone())
        })?
    }

    /// Returns the targets of the call's service that it is not sent to now, and why.
    pub(crate) fn left_out(&self, node: &Node) -> Vec<(Registration, LeftOut)> {
        let left_out = self.weigh(node, None, &[], |inputs| {
            let Inputs { requirements, targets, loads, service, is_evacuated, now } = inputs;
            let of_service = targets
                .iter()
                .filter(|target| *target.registration.service == *requirements.service);
            let reason = |target: &Target| {
                balance::left_out(requirements, target, loads, service, is_evacuated, *now)
            };
            let with_reason =
                |target: &Target| Some((target.registration.clone(), reason(target)?));
            of_service.filter_map(with_reason).collect()
        });
        left_out.unwrap_or_default()
    }

    /// Gathers what the choice of a target depends on. Returns `None` without a service.
    fn weigh<T>(
        &self,
        node: &Node,
        software: Option<&Software>,
        tried: &[Name],
        decide: impl FnOnce(&Inputs<'_>) -> T,
    ) -> Option<T> {
        let now = BootClock.now();
        pace::observe_entries(node, now);
        let deployment = node.view.deployment();
        let name = match software {
            // A caller that takes a stream up has a new id, which may pick another service.
            Some(software) => {
                let mut services = self.route.services.iter().map(|(name, _)| name);
                services.find(|name| **name == software.service)?.clone()
            }
            None => pick_service(&self.route, &self.id),
        };
        let service = deployment.services.get(&name)?;
        let evacuated = node.view.evacuated.borrow();
        let live = node.members.live();
        let limits = node.limits.borrow();
        let store_ms = node.store_clock.millis(now);
        let requirements = Requirements {
            service: &name,
            data_centre: &node.data_centre,
            software,
            can_go_on: self.route.kind == CallKind::Stream { resumable: true },
            tried,
            reserved_slots: self.origin.reserved_slots(),
            node_rank: &|target| takeover::caller_rank(target, &node.members.own, &live),
            limit: &|target| LimitState {
                is_withheld: !limits.withheld_for(target, now).is_zero(),
                is_spared: limits.is_spared(target, store_ms),
            },
        };
        Some(decide(&Inputs {
            requirements,
            targets: &node.view.targets.borrow(),
            loads: &node.target_loads.borrow(),
            service,
            is_evacuated: &|data_centre| evacuated.contains(data_centre),
            now,
        }))
    }
}

/// What the choice of a target for a call depends on.
struct Inputs<'a> {
    requirements: Requirements<'a>,
    targets: &'a TargetList,
    loads: &'a TargetLoads,
    service: &'a Service,
    is_evacuated: &'a dyn Fn(&str) -> bool,
    now: Instant,
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

/// Names of the header fields of a message that are for one connection only and not forwarded.
pub(crate) struct HopByHop<'a> {
    /// Tokens of `Connection`, sorted in lower case, so that many of them do not take the square
    /// of their number.
    named: Vec<&'a [u8]>,
}

impl<'a> HopByHop<'a> {
    pub(crate) fn of(headers: &'a Headers) -> Self {
        let mut named: Vec<_> = headers.tokens("connection").collect();
        named.sort_unstable_by(|left, right| ascii_order(left, right));
        Self { named }
    }

    pub(crate) fn contains(&self, name: &str) -> bool {
        HOP_BY_HOP.iter().any(|hop| hop.eq_ignore_ascii_case(name))
            || self.named.binary_search_by(|token| ascii_order(token, name.as_bytes())).is_ok()
    }
}

/// Compares names in lower case.
fn ascii_order(left: &[u8], right: &[u8]) -> Ordering {
    let left = left.iter().map(u8::to_ascii_lowercase);
    left.cmp(right.iter().map(u8::to_ascii_lowercase))
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
        Attempt::NoPath if !may_have_run => {
            Reply::not_run("no target can be reached now; the request has not run", RETRY_NO_PATH)
        }
        Attempt::Withheld(after) if !may_have_run => Reply::not_run(
            "the targets' limits leave no room for the request now; it has not run",
            after,
        ),
        Attempt::NotRun(_) | Attempt::NoPath | Attempt::Withheld(_) | Attempt::Unknown(_) => {
            Reply::error(502, "the connection to the target broke; the request may have run")
        }
    }
}

/// Decides from a complete response whether the target ran the request.
pub(crate) fn classify_answer(fields: &HeaderFields, id: &str, response: Response) -> Attempt {
    let headers = &response.head.headers;
    let refused = response.head.status == 421 || headers.get(fields.not_run).is_some();
    let echo = headers.get(fields.request_id);
    match () {
        () if refused && echo.is_none_or(|echo| echo == id) => {
            let after = headers.number::<f64>("retry-after");
            Attempt::NotRun(after.and_then(|after| Duration::try_from_secs_f64(after).ok()))
        }
        () if !is_own_answer(fields, id, headers) => Attempt::Unknown(ExchangeError::Malformed),
        () => Attempt::Answered(response),
    }
}

/// Returns whether the head of a response begins the stream of a request. All other responses are
/// collected and classified by [`classify_answer`], so that nothing of an error reaches a stream.
pub(crate) fn begins_stream(fields: &HeaderFields, id: &str, head: &ResponseHead) -> bool {
    let media_type = head.headers.get("content-type").unwrap_or_default();
    head.status == 200
        && media_type.starts_with("text/event-stream")
        && is_own_answer(fields, id, &head.headers)
}

/// Returns whether a response has the id of the request, its target's signature and no encoding,
/// which no request asks for.
fn is_own_answer(fields: &HeaderFields, id: &str, headers: &Headers) -> bool {
    headers.get(fields.request_id) == Some(id)
        && headers.get(fields.signature).is_some()
        && headers.get("content-encoding").is_none()
}

/// Returns a target's response for the caller, unchanged but for hop-by-hop fields.
fn forward(response: Response) -> Reply {
    let headers = end_to_end_headers(&response.head);
    Reply { status: response.head.status, headers, body: response.body, close: false }
}

/// Returns the header fields of a response without the hop-by-hop ones.
pub(crate) fn end_to_end_headers(head: &ResponseHead) -> Headers {
    let hop_by_hop = HopByHop::of(&head.headers);
    let mut headers = Headers::default();
    let kept = head.headers.iter().filter(|(name, _)| !hop_by_hop.contains(name));
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
