//! One run of an item on a target.

use std::{cell::RefCell, rc::Rc, time::Duration};

use monoio::time::timeout;
use tamarackdock_types::clock::{BootClock, Clock};

use super::{
    job::{Ended, Job},
    migrate, schedule,
};
use crate::{
    call::{Attempt, judge},
    event::{Event, Splitter},
    http::{Exchange, Headers},
    node::Node,
    signal::Signal,
    target::Registration,
};

/// Longest silence before the first event. A full target answers at once, and a
/// load of weights takes about a second.
const FIRST_EVENT: Duration = Duration::from_millis(2500);
/// Longest silence between events. They come every few tens of milliseconds.
const NEXT_EVENT: Duration = Duration::from_millis(1800);
/// Time between looks whether a run should move.
const MOVE_INTERVAL: Duration = Duration::from_millis(200);
/// Largest answer that is not a stream.
const MAX_ERROR: usize = 64 * 1024;

/// Runs an item and tells its job the outcome.
pub(crate) async fn run(node: Rc<Node>, job: Rc<RefCell<Job>>, index: usize, target: Registration) {
    let began = BootClock.now();
    let guard = node.begin(&target.id, began);
    let closed = job.borrow().changed.clone();
    let ended = {
        let running = stream(&node, &job, index, &target);
        let stopped = stopped(&job, &closed);
        futures_util::pin_mut!(running, stopped);
        match futures_util::future::select(running, stopped).await {
            futures_util::future::Either::Left((ended, _)) => Some(ended),
            futures_util::future::Either::Right(((), _)) => None,
        }
    };
    drop(guard);
    let now = BootClock.now();
    let outcome = ended.map_or("stopped", name);
    node.metrics.runs.with_label_values(&[outcome]).inc();
    {
        let job = job.borrow();
        let work = &job.works[index];
        slog::info!(node.log, "item: run ended"; "job" => &*job.id, "item" => &*work.item.id,
            "target" => &*target.id, "outcome" => outcome, "events" => work.progress.events(),
            "expected" => work.item.expected(), "ms" => now.since(began).as_millis());
    }
    match ended {
        Some(Ended::Broken) => node.loads.borrow_mut().suspect(&target.id, now),
        Some(Ended::Refused | Ended::WrongVersion) => {
            node.loads.borrow_mut().full(&target.id, now);
        }
        _ => {}
    }
    if let Some(ended) = ended {
        job.borrow_mut().end_run(index, ended, now);
    }
    node.jobs.changed.raise();
}

fn name(ended: Ended) -> &'static str {
    match ended {
        Ended::Whole => "whole",
        Ended::Refused => "refused",
        Ended::Failed => "failed",
        Ended::Impossible => "impossible",
        Ended::Broken => "broken",
        Ended::WrongVersion => "wrong_version",
        Ended::Moved => "moved",
    }
}

/// Waits until the job is closed.
async fn stopped(job: &Rc<RefCell<Job>>, changed: &Signal) {
    loop {
        let seen = changed.count();
        if job.borrow().closed || job.borrow().stopping {
            return;
        }
        changed.after(seen).await;
    }
}

async fn stream(
    node: &Rc<Node>,
    job: &Rc<RefCell<Job>>,
    index: usize,
    target: &Registration,
) -> Ended {
    let fields = node.dialect.fields();
    let Ok(mut connection) = node.pool.connect(target).await else {
        return Ended::Broken;
    };
    let Some(request) = prepare(node, job, index, target) else {
        return Ended::Refused;
    };
    let Prepared { path, headers, body, .. } = &request;
    let sent = Exchange::begin(&mut connection, "POST", path, headers, body);
    let Ok(Ok(mut exchange)) = timeout(FIRST_EVENT, sent).await else {
        return Ended::Broken;
    };
    let head = exchange.head().clone();
    let own = head.headers.get(fields.request_id) == Some(&*request.id);
    if head.status != 200 || !own {
        return refused(node, exchange, &request.id, target).await;
    }
    let mut version: Option<u64> = head.headers.number(fields.weight_version);
    let mut events = Splitter::new(fields.weight_version);
    let mut last = None;
    let mut looked = BootClock.now();
    let mut allowed = FIRST_EVENT;
    loop {
        let data = match timeout(allowed, exchange.next()).await {
            Ok(Ok(Some(data))) => data,
            Ok(Ok(None)) if events.has_rest() => return Ended::Broken,
            Ok(Ok(None)) => break,
            Ok(Err(_)) | Err(_) => return Ended::Broken,
        };
        allowed = NEXT_EVENT;
        events.push(&data);
        loop {
            let event = match events.next() {
                Ok(Some(event)) => event,
                Ok(None) => break,
                Err(_) => return Ended::Broken,
            };
            version = event.version.or(version);
            let now = BootClock.now();
            if let Err(ended) = take(&mut job.borrow_mut(), index, &event, version, &request) {
                return ended;
            }
            if let Some(last) = last.replace(now) {
                node.loads.borrow_mut().pace(&target.id, now.since(last));
            }
        }
        let now = BootClock.now();
        if now.since(looked) > MOVE_INTERVAL {
            looked = now;
            if is_slow(node, &job.borrow(), index, target) {
                return Ended::Moved;
            }
        }
    }
    // An answer that ends with its connection can be cut without a sign, so
    // that the end is asked for once more.
    if head.framing == crate::http::Framing::UntilClose {
        return Ended::Broken;
    }
    if exchange.is_reusable() {
        node.pool.put(&target.id, connection, &head.headers);
    }
    Ended::Whole
}

/// Returns whether the rest of an item is better made by another target.
fn is_slow(node: &Node, job: &Job, index: usize, target: &Registration) -> bool {
    let work = &job.works[index];
    let loads = node.loads.borrow();
    let Some(pace) = loads.get(&target.id).pace else { return false };
    let targets = node.beliefs.targets.borrow();
    let others = targets.iter().map(|other| &other.registration).filter(|other| {
        let load = loads.get(&other.id);
        other.service == target.service
            && !other.draining
            && load.running < other.slots
            && schedule::fits(job, other, None)
    });
    let paces = others.filter_map(|other| loads.get(&other.id).pace).collect();
    let due = |median| migrate::is_due(pace, median, work.left_events(), work.moves);
    migrate::median(paces).is_some_and(due)
}

/// The request of an item and what its answer must keep to.
struct Prepared {
    id: String,
    path: String,
    headers: Headers,
    body: bytes::Bytes,
    /// Oldest version of the weights that may make the text.
    min_version: u64,
    /// Whether one version must make the whole text.
    single_version: bool,
}

/// Adds an event to the text of an item, or says why the run must end.
fn take(
    job: &mut Job,
    index: usize,
    event: &Event,
    version: Option<u64>,
    request: &Prepared,
) -> Result<(), Ended> {
    let progress = &mut job.works[index].progress;
    if version.is_some_and(|version| version < request.min_version) {
        return Err(Ended::WrongVersion);
    }
    let first = progress.versions().first().copied();
    if request.single_version && first.is_some() && first != version {
        progress.restart();
        return Err(Ended::WrongVersion);
    }
    progress.append(event, version).map_err(|_| Ended::Broken)?;
    job.advanced(index);
    Ok(())
}

/// Makes the request of an item, or returns `None` if its route is gone.
fn prepare(
    node: &Node,
    job: &Rc<RefCell<Job>>,
    index: usize,
    target: &Registration,
) -> Option<Prepared> {
    let fields = node.dialect.fields();
    let job = job.borrow();
    let work = &job.works[index];
    let route = node.beliefs.deployment().route(&job.head.host, &work.item.path)?;
    let left = (job.accepted + route.item_lifetime).since(BootClock.now());
    let mut headers = Headers::default();
    headers.push("Host", job.head.host.as_bytes());
    let set = [fields.request_id, fields.account, fields.expected_target, fields.deadline];
    for (name, value) in work.item.headers.iter() {
        let own = set.iter().any(|field| field.eq_ignore_ascii_case(name));
        let framing = crate::call::is_hop_by_hop(&work.item.headers, name);
        if !own && !framing && !name.eq_ignore_ascii_case("host") {
            headers.push(name, value);
        }
    }
    headers.push(fields.request_id, work.item.id.as_bytes());
    headers.push(fields.expected_target, target.id.as_bytes());
    headers.push(fields.deadline, left.as_millis().to_string());
    if let Some(account) = &job.head.account {
        headers.push(fields.account, account.as_bytes());
    }
    if let Some(last) = work.progress.last_event() {
        headers.push(fields.last_event, last.to_string());
    }
    headers.push("Content-Length", work.item.body.len().to_string());
    Some(Prepared {
        id: work.item.id.as_ref().into(),
        path: work.item.path.clone(),
        headers,
        body: work.item.body.clone(),
        min_version: job.submission.min_version,
        single_version: route.single_version,
    })
}

/// Decides what an answer means that is not a stream of the item.
async fn refused(node: &Node, exchange: Exchange<'_>, id: &str, target: &Registration) -> Ended {
    let collected = timeout(FIRST_EVENT, exchange.collect(MAX_ERROR)).await;
    let Ok(Ok((answer, _))) = collected else { return Ended::Broken };
    let status = answer.head.status;
    slog::info!(node.log, "item: not a stream"; "item" => id, "target" => &*target.id,
        "status" => status);
    match judge(&node.dialect.fields(), id, answer) {
        Attempt::NotRun(_) => Ended::Refused,
        Attempt::Answered(_) if status == 422 => Ended::Impossible,
        Attempt::Answered(_) if status == 500 => Ended::Failed,
        Attempt::Answered(_) | Attempt::Unknown(_) => Ended::Broken,
    }
}
