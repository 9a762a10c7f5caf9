//! Forwards streams of events from targets to callers.

use std::{rc::Rc, time::Duration};

use tamarackdock_types::clock::{BootClock, Clock, Instant};

use crate::{
    call::{Attempt, Call, begins_stream, classify_answer, end_to_end_headers, final_reply},
    continuation::{self, Place},
    crash::{self, Break},
    deployment::{CallKind, Name},
    event::{Event, EventParser, OutOfOrder},
    hedge::{MAX_WITHHELD, PERMIT_WAIT_SHARE},
    http::{ExchangeError, LAST_CHUNK, Writer, chunk, response_head},
    limit::permits,
    node::Node,
    pace,
    path::{self, Choice, Request},
    pool::Reuse,
    reply::Reply,
    server::Outcome,
};

/// Largest response that is not a stream, in bytes: an error with its text.
const MAX_ERROR: usize = 256 * 1024;
/// `Retry-After` of a stream that can't go on because no node knows which software began it.
const RETRY_UNKNOWN: Duration = Duration::from_secs(1);

/// The part of a stream that the caller has received.
#[derive(Debug)]
struct Progress {
    stream: continuation::Key,
    /// Whether the head of the response was sent.
    began: bool,
    /// When other nodes were last told which software began the stream.
    announced: Option<Instant>,
    /// Number of events that were sent.
    events: u64,
    /// Id of the last event that was sent, in this response or an earlier one.
    last_event: Option<u64>,
    /// Whether the next event joins those of another run to the ones that were sent.
    joins: bool,
}

impl Progress {
    /// Records an event that is sent next. One that joins the events of another run to those
    /// that were sent must follow them. All others come as their target orders them.
    fn record(&mut self, event: &Event) -> Result<(), OutOfOrder> {
        if event.is_comment() {
            return Ok(());
        }
        if std::mem::take(&mut self.joins) {
            event.follow(self.last_event)?;
        }
        self.last_event = event.id.or(self.last_event);
        self.events += 1;
        Ok(())
    }

    /// Returns whether another run can go on after the events that were sent.
    fn can_go_on(&self) -> bool {
        self.events == 0 || self.last_event.is_some()
    }

    /// Returns how a run came to its break before which `events` events had been sent.
    fn break_since(&self, events: u64) -> Break {
        if self.events > events { Break::AfterEvents } else { Break::AtOnce }
    }
}

/// The result of streaming from one target.
enum Ended {
    /// The stream was forwarded to its end.
    Complete,
    /// The caller has closed the connection.
    CallerGone,
    /// The target answered the request with something else than a stream, or the request was
    /// not sent.
    NoStream(Attempt),
    /// The connection broke, the response was malformed or not that of the request, or the
    /// deadline passed. The request may have run.
    Broken(ExchangeError),
}

/// What follows an answer that is not a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Next {
    /// Another target is asked.
    Elsewhere,
    /// No further target is asked.
    Stop,
}

impl Next {
    /// Decides by the answer. `goes_on` says whether the caller has the beginning of a stream
    /// that another target may go on with: the answer can't be forwarded then, and says nothing
    /// about what other targets answer.
    pub(crate) fn after(answer: &Attempt, goes_on: bool) -> Self {
        match answer {
            Attempt::NotRun(_) | Attempt::Withheld(_) => Self::Elsewhere,
            Attempt::Answered(_) | Attempt::Unknown(_) if goes_on => Self::Elsewhere,
            // No node has a path to other targets either.
            Attempt::NoPath | Attempt::Answered(_) | Attempt::Unknown(_) => Self::Stop,
        }
    }
}

/// Serves a call whose response is a stream. If a target breaks off a resumable
/// stream, another target continues it after the last event that was sent.
pub(crate) async fn serve(node: &Rc<Node>, call: &Call, writer: &mut Writer) -> Outcome {
    let resumable = call.route.kind == CallKind::Stream { resumable: true };
    let place = Place::of(node, call);
    let mut software = None;
    if place.last_event.is_some() {
        software = continuation::find(node, call, place).await;
        if software.is_none() {
            let message = "no node knows which targets began this stream; nothing has run";
            return Outcome::Reply(Reply::not_run(message, RETRY_UNKNOWN));
        }
    }
    let mut progress = Progress {
        stream: place.stream,
        began: false,
        announced: None,
        events: 0,
        last_event: place.last_event,
        joins: false,
    };
    let mut tried: Vec<Name> = Vec::new();
    let mut last = Attempt::NotRun(None);
    let mut may_have_run = false;
    let mut withheld = 0;
    let attempts = call.route.attempts.max(1) as usize;
    while tried.len() - withheld < attempts
        && withheld < MAX_WITHHELD
        && BootClock.now() < call.give_up_at
    {
        let Some(target) = call.choose_of(node, software.as_ref(), &tried) else { break };
        tried.push(target.id.clone());
        let began = BootClock.now();
        let events_before = progress.events;
        let guard = node.start_request(&target.id, began);
        let ended = run(node, call, &target, &mut progress, writer).await;
        drop(guard);
        if progress.events > 0 && software.is_none() {
            software = Some(target.software());
        }
        if !matches!(
            ended,
            Ended::NoStream(Attempt::NotRun(_) | Attempt::NoPath | Attempt::Withheld(_))
        ) && let Some(account) = &call.account
        {
            node.count_usage(account, began);
        }
        match ended {
            Ended::Complete => {
                crash::acquit(node, call);
                return Outcome::Streamed { complete: true };
            }
            Ended::CallerGone => return Outcome::Streamed { complete: false },
            Ended::NoStream(answer @ Attempt::NotRun(_)) => {
                let mut loads = node.target_loads.borrow_mut();
                loads.refuse_call(&target, call.origin, BootClock.now());
                last = answer;
            }
            Ended::NoStream(answer @ Attempt::Withheld(_)) => {
                withheld += 1;
                last = answer;
            }
            Ended::NoStream(answer) => {
                let goes_on = resumable && progress.began && progress.can_go_on();
                let next = Next::after(&answer, goes_on);
                last = answer;
                if next == Next::Stop {
                    break;
                }
            }
            Ended::Broken(error) => {
                may_have_run = true;
                if error.blames_target() {
                    node.target_loads.borrow_mut().mark_suspect(&target.id, BootClock.now());
                    pace::record_error(node, &target.id, error, BootClock.now());
                }
                crash::observe(node, call, &target, error, progress.break_since(events_before));
                slog::info!(node.log, "stream: broken"; "id" => &call.id,
                    "target" => &*target.id, "software" => &*target.software_version,
                    "last_event" => progress.last_event, "error" => %error);
                if !resumable || !progress.can_go_on() {
                    break;
                }
            }
        }
    }
    if progress.began {
        return Outcome::Streamed { complete: false };
    }
    Outcome::Reply(final_reply(last, may_have_run))
}

/// Announces at intervals which software began the stream.
fn announce(
    node: &Rc<Node>,
    target: &crate::target::Registration,
    progress: &mut Progress,
    now: Instant,
) {
    if progress.announced.is_none_or(|at| now.since(at) >= continuation::ANNOUNCE_INTERVAL) {
        continuation::announce(node, progress.stream, &target.software());
        progress.announced = Some(now);
    }
}

/// Sends the call to a target and forwards its events to the caller.
async fn run(
    node: &Rc<Node>,
    call: &Call,
    target: &crate::target::Registration,
    progress: &mut Progress,
    writer: &mut Writer,
) -> Ended {
    let fields = node.wire_format.fields();
    let longest_wait = call.route.objective.mul_f64(PERMIT_WAIT_SHARE);
    if let Err(after) = permits::acquire(node, target, call.origin.demand(), longest_wait).await {
        return Ended::NoStream(Attempt::Withheld(after));
    }
    let last_event = progress.last_event;
    let head = &call.request.head;
    let sent_at = BootClock.now();
    let request = Request {
        id: &call.id,
        method: &head.method,
        path: &head.target,
        headers: &|now| {
            let mut headers = call.headers(node, target, now);
            if let Some(last) = last_event {
                headers.push(fields.last_event, last.to_string());
            }
            headers
        },
        body: &call.request.body,
        permission: call.permission(node),
        job_route: None,
        send_by: call.give_up_at,
        give_up_at: call.give_up_at,
        can_repeat: call.route.kind == CallKind::Stream { resumable: true },
    };
    let sent = path::send(node, target, &request, Choice::Own, Reuse::Newest).await;
    let mut link = match sent.checked(node).await {
        Ok(link) => link,
        Err(ExchangeError::NotSent) => return Ended::NoStream(Attempt::NotRun(None)),
        Err(ExchangeError::NoPath) => return Ended::NoStream(Attempt::NoPath),
        Err(error) => return Ended::Broken(error),
    };
    node.observe_answer(target, link.head(), &call.id, sent_at);
    if !begins_stream(&fields, &call.id, link.head()) {
        let (response, _) = match link.collect(node, MAX_ERROR, call.give_up_at).await {
            Ok(collected) => collected,
            Err(error) => return Ended::Broken(error),
        };
        let status = response.head.status;
        slog::info!(node.log, "stream: answer is no stream"; "id" => &call.id,
            "target" => &*target.id, "status" => status, "last_event" => last_event);
        return match classify_answer(&fields, &call.id, response) {
            Attempt::Unknown(error) => Ended::Broken(error),
            answer => Ended::NoStream(answer),
        };
    }
    if !std::mem::replace(&mut progress.began, true) {
        let mut headers = end_to_end_headers(link.head());
        headers.push("Transfer-Encoding", "chunked");
        if writer.send(response_head(200, &headers)).await.is_err() {
            return Ended::CallerGone;
        }
    }
    progress.joins = last_event.is_some();
    let mut events = EventParser::new(fields.weight_version);
    let mut has_begun = false;
    loop {
        let data = match link.next(node, call.give_up_at).await {
            Ok(Some(data)) => data,
            Ok(None) if events.has_partial_event() => {
                return Ended::Broken(ExchangeError::ConnectionLost);
            }
            Ok(None) => break,
            Err(error) => return Ended::Broken(error),
        };
        events.push(&data);
        loop {
            let event = match events.next() {
                Ok(Some(event)) => event,
                Ok(None) => break,
                Err(_) => {
                    slog::info!(node.log, "stream: malformed event"; "id" => &call.id,
                        "target" => &*target.id);
                    return Ended::Broken(ExchangeError::Malformed);
                }
            };
            if let Err(OutOfOrder) = progress.record(&event) {
                slog::info!(node.log, "stream: event out of order"; "id" => &call.id,
                    "target" => &*target.id, "last_event" => progress.last_event,
                    "event" => event.id);
                return Ended::Broken(ExchangeError::Malformed);
            }
            let now = BootClock.now();
            if !std::mem::replace(&mut has_begun, true) {
                pace::record_call(node, target, sent_at, now);
            }
            announce(node, target, progress, now);
            if writer.send(chunk(&event.raw)).await.is_err() {
                return Ended::CallerGone;
            }
        }
    }
    link.keep(node);
    match writer.send(LAST_CHUNK).await {
        Ok(()) => Ended::Complete,
        Err(_) => Ended::CallerGone,
    }
}
