//! One run of an item on a target.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use futures_util::future::{Either, select};
use tamarackdock_route::{pace::LONGEST_STALL, refusal::Subject};
use tamarackdock_types::clock::{BootClock, Clock, Instant};

use super::{
    estimate,
    job::{Job, RunOutcome},
    lifetime, migrate, schedule,
};
use crate::{
    call::{Attempt, HopByHop, begins_stream, classify_answer},
    deployment::Name,
    event::{Event, EventParser},
    http::{ExchangeError, Headers, Response},
    node::Node,
    notify::Notify,
    pace,
    path::{self, Choice, Link, Permission},
    pool::Reuse,
    silence::{self, FirstEvent},
    target::Registration,
};

/// Longest wait for the body of an answer that is not a stream. Its head has arrived.
const BODY_TIMEOUT: Duration = Duration::from_millis(2500);
/// Least time between two checks whether a run should move.
const MOVE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Largest answer that is not a stream, in bytes.
const MAX_ERROR_BYTES: usize = 64 * 1024;

/// Runs an item on a target until the run ends or the job is stopped, and reports the
/// outcome to the job.
pub(crate) async fn run(node: Rc<Node>, job: Rc<RefCell<Job>>, index: usize, target: Registration) {
    let began = BootClock.now();
    let guard = node.start_request(&target.id, began);
    let after = job.borrow().items[index].progress.last_event();
    let error = Cell::new(None);
    let outcome = until_stopped(&job, stream_item(&node, &job, index, &target, &error)).await;
    drop(guard);
    let now = BootClock.now();
    let label = outcome.map_or("stopped", outcome_label);
    node.metrics.runs.with_label_values(&[label]).inc();
    {
        let job = job.borrow();
        let item = &job.items[index];
        slog::info!(node.log, "item: run ended"; "job" => &*job.id, "item" => &*item.request.id,
            "target" => &*target.id, "software" => &*target.software_version, "after" => after,
            "outcome" => label, "events" => item.progress.event_count(),
            "expected" => item.request.estimated_tokens(), "ms" => now.since(began).as_millis());
    }
    if matches!(outcome, Some(RunOutcome::Broken | RunOutcome::Refused | RunOutcome::WrongVersion))
    {
        let turn = pace::turn(&node, &target);
        node.target_loads.borrow_mut().set_turn(&target.id, turn);
    }
    match outcome {
        Some(RunOutcome::Broken) => {
            node.target_loads.borrow_mut().mark_suspect(&target.id, now);
            if let Some(error) = error.get() {
                pace::record_error(&node, &target.id, error, now);
            }
        }
        Some(RunOutcome::Completed) => {
            node.target_loads.borrow_mut().record_completed(&target.id, began);
        }
        Some(RunOutcome::Refused) => record_refusal(&node, &job, index, &target, now),
        Some(RunOutcome::WrongVersion) => mark_full(&node, &target, now),
        _ => {}
    }
    if let Some(outcome) = outcome {
        job.borrow_mut().end_run(index, outcome, now);
    }
    node.jobs.changed.notify_all();
}

/// Decides what the refusal of an item concerns. A target that refuses an item which fits no
/// target is as usable as before for others.
fn record_refusal(
    node: &Node,
    job: &RefCell<Job>,
    index: usize,
    target: &Registration,
    now: Instant,
) {
    let mut job = job.borrow_mut();
    let model = job.submission.model.clone();
    let item = &mut job.items[index];
    let subject = {
        let loads = node.target_loads.borrow();
        let last_accepted = |target: &str| loads.last_accepted(target, model.as_ref());
        item.refusals.record(&target.id, last_accepted, now)
    };
    slog::info!(node.log, "item: refused"; "job" => &*job.id,
        "item" => &*job.items[index].request.id, "target" => &*target.id,
        "concerns" => ?subject, "refusals" => job.items[index].refusals.count(),
        "pause_ms" => job.items[index].refusals.pause().as_millis());
    if subject == Subject::Target {
        mark_full(node, target, now);
    }
}

fn mark_full(node: &Node, target: &Registration, now: Instant) {
    node.target_loads.borrow_mut().mark_full(&target.id, now);
    node.silence.record_refusal(&target.id, now);
}

/// Returns the label of an outcome in logs and metrics. Labels are part of that interface
/// and don't follow renames.
fn outcome_label(outcome: RunOutcome) -> &'static str {
    match outcome {
        RunOutcome::Completed => "whole",
        RunOutcome::Refused => "refused",
        RunOutcome::Failed => "failed",
        RunOutcome::Impossible => "impossible",
        RunOutcome::Broken => "broken",
        RunOutcome::WrongVersion => "wrong_version",
        RunOutcome::Moved => "moved",
        RunOutcome::Stale => "stale",
        RunOutcome::PathLost => "path_lost",
        RunOutcome::NoPath => "no_path",
        RunOutcome::NotSent => "not_sent",
    }
}

/// Waits for a future, or returns `None` when the job is closed or its runs are stopped.
pub(crate) async fn until_stopped<T>(
    job: &Rc<RefCell<Job>>,
    future: impl Future<Output = T>,
) -> Option<T> {
    let changed = job.borrow().changed.clone();
    let stopped = wait_until_stopped(job, &changed);
    futures_util::pin_mut!(future, stopped);
    match select(future, stopped).await {
        Either::Left((value, _)) => Some(value),
        Either::Right(((), _)) => None,
    }
}

/// Waits until the job is closed or its runs are stopped.
async fn wait_until_stopped(job: &Rc<RefCell<Job>>, changed: &Notify) {
    loop {
        let seen = changed.count();
        if job.borrow().closed || job.borrow().stopping {
            return;
        }
        changed.changed_since(seen).await;
    }
}

/// Sends an item to a target and appends the events of the answer to the item's text. Sets the
/// error of the exchange, if that ends the run.
async fn stream_item(
    node: &Rc<Node>,
    job: &Rc<RefCell<Job>>,
    index: usize,
    target: &Registration,
    last_error: &Cell<Option<ExchangeError>>,
) -> RunOutcome {
    let fields = node.wire_format.fields();
    let broken = |error: ExchangeError| {
        last_error.set(Some(error));
        let job = job.borrow();
        slog::info!(node.log, "item: run broken"; "job" => &*job.id,
            "item" => &*job.items[index].request.id, "target" => &*target.id,
            "error" => %error);
        match error {
            ExchangeError::NoPath => RunOutcome::NoPath,
            ExchangeError::PathLost => RunOutcome::PathLost,
            _ => RunOutcome::Broken,
        }
    };
    let Some(request) = prepare_request(node, job, index, target) else {
        return RunOutcome::NotSent;
    };
    let sent_at = BootClock.now();
    let first_event = FirstEvent::new(node, target, sent_at);
    let outgoing = path::Request {
        id: &request.id,
        method: "POST",
        path: &request.path,
        headers: &|now| request.headers(fields.deadline, now),
        body: &request.body,
        permission: Permission::Job,
        job_route: Some(&request.route),
        send_by: sent_at + first_event.longest(),
        give_up_at: sent_at + first_event.longest(),
        can_repeat: true,
    };
    let sending = path::send(node, target, &outgoing, Choice::Own, Reuse::Oldest);
    let Ok(sent) = first_event.during(Box::pin(sending)).await else {
        return broken(ExchangeError::TimedOut);
    };
    let mut link = match sent.result {
        Ok(link) => link,
        // The target may have closed the idle connection without notice.
        Err(_) if sent.is_stale => return RunOutcome::Stale,
        Err(error) => return broken(error),
    };
    let head = link.head().clone();
    node.observe_answer(target, &head, &request.id, sent_at);
    let is_own = head.headers.get(fields.request_id) == Some(&*request.id);
    if !begins_stream(&fields, &request.id, &head) {
        let collected = collect_non_stream(node, link, is_own).await;
        return collected.map_or_else(broken, |response| {
            classify_non_stream(node, response, &request.id, target)
        });
    }
    let accepted_at = BootClock.now();
    let model = request.model.as_ref();
    node.target_loads.borrow_mut().record_accepted(&target.id, model, accepted_at);
    job.borrow_mut().record_accepted(index);
    let mut version: Option<u64> = head.headers.number(fields.weight_version);
    let mut events = EventParser::new(fields.weight_version);
    let mut last_event = None;
    let mut last_check = BootClock.now();
    let mut stall_timeout = LONGEST_STALL;
    // Only whole events count as progress: a stalled target may still send a byte now and then.
    let mut event_due = last_check + first_event.longest();
    first_event.record_head(last_check);
    loop {
        let part = next_part(node, &mut link, &first_event, last_event.is_some(), event_due).await;
        let data = match part {
            Ok(Some(data)) => data,
            Ok(None) if events.has_partial_event() => return broken(ExchangeError::ConnectionLost),
            Ok(None) => break,
            Err(error) => return broken(error),
        };
        events.push(&data);
        loop {
            let event = match events.next() {
                Ok(Some(event)) => event,
                Ok(None) => break,
                Err(_) => return broken(ExchangeError::Malformed),
            };
            version = event.version.or(version);
            let now = BootClock.now();
            event_due = now + stall_timeout;
            if let Err(outcome) =
                append_event(&mut job.borrow_mut(), index, &event, version, &request)
            {
                return outcome;
            }
            record_event(node, target, &first_event, last_event.replace(now), now);
        }
        let now = BootClock.now();
        if now.since(last_check) > MOVE_CHECK_INTERVAL {
            last_check = now;
            stall_timeout = silence::next_event_timeout(node, target, request.model.as_ref(), now);
            if should_move(node, &job.borrow(), index, target, now) {
                return RunOutcome::Moved;
            }
        }
    }
    // If the end of the connection marks the end of the answer, a truncated answer looks
    // complete. So the item is run again from the last event.
    if head.framing == crate::http::Framing::UntilClose {
        return broken(ExchangeError::ConnectionLost);
    }
    link.keep(node);
    RunOutcome::Completed
}

/// Returns whether the rest of an item should be run by another target with room.
fn should_move(node: &Node, job: &Job, index: usize, target: &Registration, now: Instant) -> bool {
    if node.settings().scheduling.adaptive {
        return estimate::should_move(node, job, index, target, now);
    }
    let item = &job.items[index];
    let loads = node.target_loads.borrow();
    let limits = node.limits.borrow();
    let Some(event_interval_ms) = loads.get(&target.id).event_interval_ms else { return false };
    let targets = node.view.targets.borrow();
    let others = targets.iter().map(|other| &other.registration).filter(|other| {
        let load = loads.get(&other.id);
        other.service == target.service
            && !other.draining
            && other.software_version == target.software_version
            && load.running < other.slots
            && !limits.is_limited(other)
            && schedule::can_serve(job, other, None)
    });
    let intervals = others.filter_map(|other| loads.get(&other.id).event_interval_ms).collect();
    let is_worthwhile = |median| {
        migrate::should_move(event_interval_ms, median, item.remaining_events(), item.moves)
    };
    migrate::median(intervals).is_some_and(is_worthwhile)
}

/// The request of an item and the conditions on the versions in its answer.
struct ItemRequest {
    id: String,
    path: String,
    /// Path prefix of the job's route.
    route: String,
    /// Header fields but for the time that is left.
    headers: Headers,
    body: Bytes,
    /// End of the item's lifetime.
    until: Instant,
    /// Oldest version of the weights that may produce the text.
    min_version: u64,
    /// Whether a single version must produce the whole text.
    single_version: bool,
    /// Model that the item is for, if any.
    model: Option<Name>,
}

impl ItemRequest {
    /// Returns the header fields of a request that is sent now.
    fn headers(&self, deadline: &str, now: Instant) -> Headers {
        let mut headers = self.headers.clone();
        headers.push(deadline, self.until.since(now).as_millis().to_string());
        headers
    }
}

/// Returns the next part of a stream, or an error once the target counts as silent before the first
/// event.
async fn next_part(
    node: &Rc<Node>,
    link: &mut Link,
    first_event: &FirstEvent<'_>,
    has_begun: bool,
    due: Instant,
) -> Result<Option<Bytes>, ExchangeError> {
    if has_begun {
        return link.next(node, due).await;
    }
    let next = Box::pin(link.next(node, due));
    first_event.during(next).await.unwrap_or(Err(ExchangeError::TimedOut))
}

/// Records an event of a target, and the time since the last one of the same run.
fn record_event(
    node: &Node,
    target: &Registration,
    first_event: &FirstEvent<'_>,
    last: Option<Instant>,
    now: Instant,
) {
    node.silence.record_event(&target.id, now);
    node.target_loads.borrow_mut().record_event(&target.id, first_event.sent(), now);
    match last {
        Some(last) => {
            node.target_loads.borrow_mut().record_event_gap(&target.id, now.since(last));
        }
        None => first_event.record_event(now),
    }
}

/// Appends an event to the text of an item, or returns why the run must end.
fn append_event(
    job: &mut Job,
    index: usize,
    event: &Event,
    version: Option<u64>,
    request: &ItemRequest,
) -> Result<(), RunOutcome> {
    let progress = &mut job.items[index].progress;
    if version.is_some_and(|version| version < request.min_version) {
        return Err(RunOutcome::WrongVersion);
    }
    let first = progress.versions().first().copied();
    if request.single_version && first.is_some() && first != version {
        progress.restart();
        return Err(RunOutcome::WrongVersion);
    }
    progress.append(event, version).map_err(|_| RunOutcome::Broken)?;
    // Nothing of such a text can be trusted.
    if progress.memory() > job.items[index].request.max_text_bytes() {
        job.items[index].progress.restart();
        return Err(RunOutcome::Broken);
    }
    job.record_progress(index);
    Ok(())
}

/// Builds the request of an item, or returns `None` if its route is gone or the target can't
/// continue its text.
fn prepare_request(
    node: &Node,
    job: &Rc<RefCell<Job>>,
    index: usize,
    target: &Registration,
) -> Option<ItemRequest> {
    let fields = node.wire_format.fields();
    if !job.borrow_mut().items[index].progress.continue_with(&target.software()) {
        return None;
    }
    let job = job.borrow();
    let item = &job.items[index];
    // The route of the job, also if another one leads to the item's path by now.
    let route = lifetime::route(&job.head, &node.view.deployment())?;
    let mut headers = Headers::default();
    headers.push("Host", job.head.host.as_bytes());
    let replaced = [fields.request_id, fields.account, fields.expected_target, fields.deadline];
    let hop_by_hop = HopByHop::of(&item.request.headers);
    for (name, value) in item.request.headers.iter() {
        let is_replaced = replaced.iter().any(|field| field.eq_ignore_ascii_case(name));
        if !is_replaced && !hop_by_hop.contains(name) && !name.eq_ignore_ascii_case("host") {
            headers.push(name, value);
        }
    }
    headers.push(fields.request_id, item.request.id.as_bytes());
    headers.push(fields.expected_target, target.id.as_bytes());
    if let Some(account) = &job.head.account {
        headers.push(fields.account, account.as_bytes());
    }
    if let Some(last) = item.progress.last_event() {
        headers.push(fields.last_event, last.to_string());
    }
    headers.push("Content-Length", item.request.body.len().to_string());
    Some(ItemRequest {
        id: item.request.id.as_ref().into(),
        path: item.request.path.clone(),
        route: route.prefix.clone(),
        headers,
        body: item.request.body.clone(),
        until: job.accepted + route.item_lifetime,
        min_version: job.submission.min_version,
        single_version: route.single_version,
        model: job.submission.model.clone(),
    })
}

/// Reads an answer that is not a stream. `is_own` says whether it names the request.
async fn collect_non_stream(
    node: &Rc<Node>,
    link: Link,
    is_own: bool,
) -> Result<Response, ExchangeError> {
    let due = BootClock.now() + BODY_TIMEOUT;
    let (response, link) = link.collect(node, MAX_ERROR_BYTES, due).await?;
    // After an answer to another request, the one to this request may follow.
    if is_own {
        link.keep(node);
    }
    Ok(response)
}

/// Returns the outcome of a run whose answer is not a stream of the item.
fn classify_non_stream(
    node: &Node,
    response: Response,
    id: &str,
    target: &Registration,
) -> RunOutcome {
    let status = response.head.status;
    slog::info!(node.log, "item: answer is not a stream"; "item" => id, "target" => &*target.id,
        "status" => status);
    match classify_answer(&node.wire_format.fields(), id, response) {
        Attempt::NotRun(_) | Attempt::NoPath | Attempt::Withheld(_) => RunOutcome::Refused,
        Attempt::Answered(_) if status == 422 => RunOutcome::Impossible,
        Attempt::Answered(_) if status == 500 => RunOutcome::Failed,
        Attempt::Answered(_) | Attempt::Unknown(_) => RunOutcome::Broken,
    }
}
