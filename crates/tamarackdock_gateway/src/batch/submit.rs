//! Acceptance of batch jobs, and their start on the node that owns them.

use std::{cell::RefCell, collections::BTreeSet, rc::Rc, time::Duration};

use bytes::Bytes;
use derive_more::{Display, From};
use monoio::time::sleep;
use tamarackdock_platform::{
    Error,
    table::{Commit, Condition, Write},
};
use tamarackdock_types::clock::{BootClock, Clock};

use super::{
    Item, Submission,
    access::Access,
    commit, end,
    index::{self, StartGuard, VersionedHead},
    job::Job,
    lifetime::JobRoute,
    load,
    part::{self, Collector, Part},
    rows::{self, JobHead, Terms},
    save, schedule, scoring, takeover,
};
use crate::{
    call::Call, deployment::Name, node::Node, reply::Reply, turn::Turn, wire_format::DecodeError,
};

/// Most tries to write a head while the outcome of earlier ones is unknown.
const MAX_TRIES: usize = 8;
/// Pause between tries to write a head.
const RETRY_PAUSE: Duration = Duration::from_millis(120);
/// Time after which a client should submit a job again if the store was not available.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Time after which a client should submit a job again whose id is still in use by a removal.
const REMOVAL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Accepts a batch job. The job is in the store before the client gets its answer.
pub(crate) async fn submit(node: &Rc<Node>, call: &Call) -> Reply {
    let id: Name = call.id.as_str().into();
    if !rows::is_valid_id(&id) {
        return Reply::error(400, "the id of a batch job has 1 to 64 letters, digits, `-` or `_`");
    }
    match node.jobs.entry(&id) {
        Some(entry) if entry.head.removing => {
            slog::info!(node.log, "job: refused, as it is being removed"; "job" => &*id,
                "revision" => entry.revision);
            let message = "an earlier batch job of this id is being removed; nothing of it runs";
            return Reply::not_run(message, REMOVAL_RETRY_AFTER);
        }
        Some(entry) => return resubmission_reply(node, call, &id, &entry),
        None => {}
    }
    if !node.job_memory.has_room_for_head(node.jobs.heads().len()) {
        slog::warn!(node.log, "job: refused, as there are too many"; "job" => &*id,
            "jobs" => node.jobs.heads().len());
        let message = "there are too many batch jobs; this one was not accepted";
        return Reply::not_run(message, RETRY_AFTER);
    }
    let checked = match check(node, &call.request.body).await {
        Ok(checked) => checked,
        Err(rejection) => {
            slog::info!(node.log, "job: rejected"; "job" => &*id, "error" => %rejection);
            return Reply::error(rejection.status(), &rejection.to_string());
        }
    };
    let Ok(text) = std::str::from_utf8(&call.request.body) else {
        return Reply::error(400, "the batch job is not valid UTF-8");
    };
    let chunks = rows::split_text(text, node.row_bytes());
    // The time of acceptance decides when items are given up and when the job is removed.
    let Some(accepted_ms) = node.store_clock.millis(BootClock.now()) else {
        slog::warn!(node.log, "job: refused, as the store's time is not known"; "job" => &*id);
        let message = "this node does not know the store's time; the batch job was not accepted";
        return Reply::not_run(message, RETRY_AFTER);
    };
    let head = new_head(node, call, &checked, chunks.len(), accepted_ms).await;
    // The feed may deliver the head before the store's answer to the write arrives.
    let guard = node.jobs.mark_starting(&id);
    match write_job(node, &id, &head, &chunks).await {
        Ok(revision) => {
            slog::info!(node.log, "job: accepted"; "job" => &*id, "items" => head.items,
                "step" => head.step, "model" => head.model.as_deref(),
                "work" => head.work, "revision" => revision, "accepted_ms" => head.accepted_ms,
                "owner" => head.owner.as_ref().map(|run| run.host.to_string()));
            let entry = VersionedHead { head: head.clone(), revision };
            index::notify_owner(node, &id, &entry);
            node.jobs.update_head(&id, entry);
            if head.owner.as_ref() == Some(&node.members.own) {
                start(node, id, VersionedHead { head, revision }, checked.part, guard);
            }
            Reply::empty(202)
        }
        Err(Error::Conflict { .. }) => match end::read_head(node, &id).await {
            Ok(Some(entry)) => resubmission_reply(node, call, &id, &entry),
            Ok(None) | Err(_) => Reply::error(502, "the batch job may have been accepted"),
        },
        Err(Error::Unreachable) => Reply::not_run(
            "the store is not available; the batch job was not accepted and nothing of it runs",
            RETRY_AFTER,
        ),
        Err(error) => {
            slog::warn!(node.log, "job: acceptance unknown"; "job" => &*id, "error" => %error);
            Reply::error(502, "the batch job may have been accepted")
        }
    }
}

fn resubmission_reply(node: &Node, call: &Call, id: &Name, entry: &VersionedHead) -> Reply {
    slog::info!(node.log, "job: submitted again"; "job" => &**id, "revision" => entry.revision,
        "accepted_ms" => entry.head.accepted_ms, "ended" => entry.head.ended);
    let requires_key = node.view.deployment().requires_key;
    match Access::of(entry.head.account.as_ref(), call.account.as_ref(), requires_key) {
        Access::Allowed => Reply::empty(202),
        Access::OtherAccount | Access::UnknownKey => {
            Reply::error(400, "the id belongs to a batch job of another client account")
        }
    }
}

/// The reason why a batch job can't be accepted, now or later.
#[derive(Debug, Display, From)]
enum Rejection {
    /// It is not a batch job.
    #[display("{_0}")]
    Malformed(DecodeError),
    /// An item can't be named in a key.
    #[display("the id of an item has 1 to 64 letters, digits, `-` or `_`")]
    #[from(skip)]
    ItemId,
    /// A scoring call can't be made.
    #[display("{_0}")]
    Scoring(scoring::Invalid),
    /// Its results can't be numbered.
    #[display("a batch job has at most {} items; submit several", part::MAX_JOB_ITEMS)]
    #[from(skip)]
    TooManyItems,
}

impl Rejection {
    /// Returns the status of the answer.
    fn status(&self) -> u16 {
        match self {
            Self::Malformed(_) | Self::ItemId | Self::Scoring(_) => 400,
            Self::TooManyItems => 413,
        }
    }
}

/// A batch job that can be accepted.
struct Checked {
    /// The job with all its items, if this node has memory for them.
    part: Option<Part>,
    /// The job without its items.
    outline: Submission,
    /// Number of items.
    items: usize,
    /// Estimated output tokens of all items.
    work: u64,
}

/// Reads a submitted job, and keeps its items if there is memory for all of them. Otherwise the owner
/// reads them from the store in parts.
async fn check(node: &Rc<Node>, body: &Bytes) -> Result<Checked, Rejection> {
    let allowance = node.job_memory.allowance(Item::memory_of(0, body.len())).unwrap_or_default();
    let mut collector = Collector::new(&node.job_memory, allowance, 0, BTreeSet::new());
    let mut reader = node.wire_format.submission_reader();
    let mut calls = scoring::Checks::default();
    let mut work = 0_u64;
    let mut turn = Turn::default();
    for piece in body.chunks(load::READ_BYTES) {
        let mut rejection = None;
        let deployment = node.view.deployment();
        let mut take = |item: Item| {
            let checked = match () {
                () if !rows::is_valid_id(&item.id) => Err(Rejection::ItemId),
                () => calls.check(&item, &deployment).map_err(Rejection::Scoring),
            };
            rejection = rejection.take().or(checked.err());
            work = work.saturating_add(item.estimated_tokens());
            collector.offer(item);
        };
        reader.read(piece, &mut take)?;
        match rejection {
            Some(rejection) => return Err(rejection),
            None if collector.seen() > part::MAX_JOB_ITEMS => return Err(Rejection::TooManyItems),
            None => {}
        }
        if collector.is_full() {
            collector.release();
        }
        turn.pause_if_over().await;
    }
    let outline = reader.finish()?;
    let items = collector.seen();
    let is_whole = !collector.is_full();
    let part = is_whole.then(|| collector.finish(outline.clone()));
    Ok(Checked { part, outline, items, work })
}

async fn new_head(
    node: &Node,
    call: &Call,
    checked: &Checked,
    chunks: usize,
    accepted_ms: i64,
) -> JobHead {
    let submission = &checked.outline;
    let key = format!("{:?}/{:?}", call.account, submission.model);
    let owner = takeover::choose_owner(node, &key).await;
    JobHead {
        account: call.account.clone(),
        host: call.request.head.headers.get("host").unwrap_or_default().into(),
        path: call.request.head.path().into(),
        model: submission.model.clone(),
        step: submission.step,
        accepted_ms,
        deployment: node.view.deployment().version,
        items: checked.items,
        chunks,
        work: checked.work,
        owner,
        epoch: 1,
        ended: false,
        removing: false,
        terms: Some(Terms::of(&call.route)),
        min_version: node.settings().scheduling.adaptive.then_some(submission.min_version),
    }
}

/// Writes the chunks of the submission and then the head, which makes the job exist.
/// Returns the revision of the head.
async fn write_job(node: &Node, id: &str, head: &JobHead, chunks: &[&str]) -> Result<u64, Error> {
    let key = rows::head_key(id);
    let to_writes = |chunks: Vec<(usize, &&str)>| {
        let writes = chunks.into_iter().map(|(chunk, text)| Write {
            key: rows::submission_key(id, Some(chunk)),
            value: Some((**text).into()),
        });
        writes.collect::<Vec<_>>()
    };
    let mut batches = end::split(chunks.iter().enumerate().collect(), |(_, text)| text.len());
    let mut last = to_writes(batches.pop().unwrap_or_default());
    // The text is copied for one transaction at a time, as a job can be large.
    for batch in batches {
        // Without the head there is no job, whether or not these rows were written. So
        // any error means that the job was not accepted.
        let writes = to_writes(batch);
        node.commit(Vec::new(), writes).await.map_err(|_| Error::Unreachable)?;
    }
    last.push(Write { key: key.clone(), value: Some(head.encode()) });
    let conditions = vec![Condition { key, revision: 0 }];
    let commit = Commit { operation: node.next_operation_id(), conditions, writes: last };
    let mut result = commit_head(node, &commit).await;
    for _ in 1..MAX_TRIES {
        // All tries have the same content, and the condition lets only one of them take
        // effect.
        if result != Err(Error::Unknown) {
            break;
        }
        sleep(RETRY_PAUSE).await;
        result = match commit_head(node, &commit).await {
            // An earlier try may still take effect.
            Err(Error::Unreachable) => Err(Error::Unknown),
            result => result,
        };
    }
    result
}

/// Writes a head. Reads it back if the answer was lost or another write came first, since
/// that may be an earlier try of this commit.
async fn commit_head(node: &Node, commit: &Commit) -> Result<u64, Error> {
    let key = &commit.conditions[0].key;
    let error = match node.store.commit(commit.clone()).await {
        Err(error @ (Error::Unknown | Error::Conflict { .. })) => error,
        result => return result,
    };
    let found = node.store.read(vec![key.clone()]).await.map_err(|_| Error::Unknown)?;
    match found.get(key) {
        Some(row) if row.operation == commit.operation => Ok(row.revision),
        Some(_) => Err(Error::Conflict { key: key.clone() }),
        None => Err(error),
    }
}

/// Starts a job that this node has accepted and owns, from memory if it has all items.
fn start(node: &Rc<Node>, id: Name, entry: VersionedHead, part: Option<Part>, guard: StartGuard) {
    match part {
        Some(part) => {
            let job = create(node, id, entry, part);
            run(node, &job, guard);
        }
        None => {
            monoio::spawn(takeover::receive(node.clone(), id, entry, guard));
        }
    }
}

/// Creates the state of a job, or of a part of it, that this node owns.
pub(crate) fn create(
    node: &Rc<Node>,
    id: Name,
    entry: VersionedHead,
    part: Part,
) -> Rc<RefCell<Job>> {
    let VersionedHead { head, revision } = entry;
    let now = BootClock.now();
    let age = head.age(node.store_clock.earliest(now));
    slog::info!(node.log, "job: started"; "job" => &*id, "revision" => revision,
        "epoch" => head.epoch, "accepted_ms" => head.accepted(), "age_ms" => age.as_millis());
    let accepted = tamarackdock_types::clock::Instant::from_millis(
        now.as_millis().saturating_sub(u64::try_from(age.as_millis()).unwrap_or_default()),
    );
    let max_failures = JobRoute::of(&head, &node.view.deployment()).max_failures();
    let submission = Rc::new(part.submission);
    let mut job = Job::new(id, head, revision, submission, accepted, max_failures);
    job.next_item = part.next;
    job.memory = Some(part.memory);
    job.max_result_bytes = node.job_memory.results();
    Rc::new(RefCell::new(job))
}

/// Starts the tasks of a job.
pub(crate) fn run(node: &Rc<Node>, job: &Rc<RefCell<Job>>, guard: StartGuard) {
    monoio::spawn(commit::run(node.clone(), job.clone()));
    monoio::spawn(save::run(node.clone(), job.clone()));
    monoio::spawn(schedule::expire(node.clone(), job.clone()));
    monoio::spawn(load::run_parts(node.clone(), job.clone()));
    monoio::spawn(carry_over_and_schedule(node.clone(), job.clone(), guard));
}

/// Gives the job the text that earlier jobs of the trainer left, then makes its items
/// available to the scheduler.
async fn carry_over_and_schedule(node: Rc<Node>, job: Rc<RefCell<Job>>, guard: StartGuard) {
    takeover::carry_over(&node, &job).await;
    let id = job.borrow().id.clone();
    node.jobs.insert(job);
    // Heads that arrived in the meantime found no job to stop.
    end::check_ownership(&node, &id);
    drop(guard);
}
