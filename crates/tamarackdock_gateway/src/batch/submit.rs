//! Acceptance of batch jobs, and their start on the node that owns them.

use std::{cell::RefCell, rc::Rc, time::Duration};

use monoio::time::sleep;
use tamarackdock_platform::{
    Error,
    table::{Commit, Condition, Write},
};
use tamarackdock_types::clock::{BootClock, Clock};

use super::{
    Submission,
    access::Access,
    commit, end,
    index::{self, StartGuard, VersionedHead},
    job::Job,
    lifetime::JobRoute,
    rows::{self, JobHead, Terms},
    save, schedule, scoring, takeover,
};
use crate::{call::Call, deployment::Name, node::Node, reply::Reply};

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
    let submission = match node.wire_format.submission(&call.request.body) {
        Ok(submission) => submission,
        Err(error) => return Reply::error(400, &error.to_string()),
    };
    if !submission.items.iter().all(|item| rows::is_valid_id(&item.id)) {
        return Reply::error(400, "the id of an item has 1 to 64 letters, digits, `-` or `_`");
    }
    if let Err(error) = scoring::validate(&submission, &node.view.deployment()) {
        slog::info!(node.log, "job: rejected"; "job" => &*id, "error" => %error);
        return Reply::error(400, &error.to_string());
    }
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
    let head = new_head(node, call, &submission, chunks.len(), accepted_ms).await;
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
                start(node, id, head, revision, Rc::new(submission), guard);
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

async fn new_head(
    node: &Node,
    call: &Call,
    submission: &Submission,
    chunks: usize,
    accepted_ms: i64,
) -> JobHead {
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
        items: submission.items.len(),
        chunks,
        work: submission.work(),
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
    let specs = chunks.iter().enumerate().map(|(chunk, text)| Write {
        key: rows::submission_key(id, Some(chunk)),
        value: Some((*text).into()),
    });
    let mut batches = end::split_writes(specs.collect());
    let mut last = batches.pop().unwrap_or_default();
    for writes in batches {
        // Without the head there is no job, whether or not these rows were written. So
        // any error means that the job was not accepted.
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

/// Starts the tasks of a job that this node owns.
pub(crate) fn start(
    node: &Rc<Node>,
    id: Name,
    head: JobHead,
    revision: u64,
    submission: Rc<Submission>,
    guard: StartGuard,
) -> Rc<RefCell<Job>> {
    let now = BootClock.now();
    let age = head.age(node.store_clock.earliest(now));
    slog::info!(node.log, "job: started"; "job" => &*id, "revision" => revision,
        "epoch" => head.epoch, "accepted_ms" => head.accepted(), "age_ms" => age.as_millis());
    let accepted = tamarackdock_types::clock::Instant::from_millis(
        now.as_millis().saturating_sub(u64::try_from(age.as_millis()).unwrap_or_default()),
    );
    let max_failures = JobRoute::of(&head, &node.view.deployment()).max_failures();
    let job = Job::new(id, head, revision, submission, accepted, max_failures);
    let job = Rc::new(RefCell::new(job));
    monoio::spawn(commit::run(node.clone(), job.clone()));
    monoio::spawn(save::run(node.clone(), job.clone()));
    monoio::spawn(schedule::expire(node.clone(), job.clone()));
    monoio::spawn(carry_over_and_schedule(node.clone(), job.clone(), guard));
    job
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
