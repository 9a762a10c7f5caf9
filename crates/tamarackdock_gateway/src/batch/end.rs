//! How a node stops running a batch job: the client has ended it, another node has taken
//! it over, or this node is about to stop.

use std::{cell::RefCell, rc::Rc, time::Duration};

use monoio::time::sleep;
use tamarackdock_platform::{
    Error,
    table::{Condition, Write},
};
use tamarackdock_types::clock::{BootClock, Clock};

use super::{
    index::{self, VersionedHead},
    job::Job,
    rows::{self, JobHead},
    save,
};
use crate::{deployment::Name, node::Node};

/// Time for which a closed job stays in memory, as a later job of the trainer may repeat
/// its groups.
const CLOSED_JOB_TTL: Duration = Duration::from_secs(12);
/// Interval of the checks whether its memory is needed.
const CLOSED_JOB_CHECK: Duration = Duration::from_millis(500);
/// Most tries to write the end of a job.
const MAX_TRIES: usize = 3;
/// Most bytes of values in a transaction of several rows.
const MAX_COMMIT_BYTES: usize = 400 * 1024;
/// Most rows in one transaction.
const MAX_COMMIT_ROWS: usize = 90;
/// Interval of the checks whether all jobs have been handed over.
const HAND_OVER_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Compares a job that this node runs with its head as last read, and stops running it if
/// the client has ended it or another node has taken it over.
pub(crate) fn check_ownership(node: &Rc<Node>, id: &str) {
    let (Some(job), Some(entry)) = (node.jobs.own_job(id), node.jobs.entry(id)) else { return };
    let is_stale = entry.revision <= job.borrow().revision;
    let is_owner = entry.head.owner.as_ref() == Some(&node.members.own);
    if is_stale || job.borrow().closed {
        return;
    }
    if is_owner && !entry.head.ended && entry.head.epoch == job.borrow().head.epoch {
        let mut job = job.borrow_mut();
        (job.revision, job.head) = (entry.revision, entry.head);
        return;
    }
    slog::info!(node.log, "job: stopped"; "job" => id, "ended" => entry.head.ended,
        "owner" => entry.head.owner.as_ref().map(|run| run.host.to_string()),
        "listed" => job.borrow().listed());
    if is_owner {
        // The last save of the text of unfinished items has this revision as a condition.
        job.borrow_mut().revision = entry.revision;
    }
    job.borrow_mut().close();
    monoio::spawn(retire(node.clone(), job, entry.head.ended && !entry.head.removing));
}

/// Stops running a job that does not exist at `revision`, unless it has been written since.
pub(crate) fn stop_removed(node: &Rc<Node>, id: &str, revision: u64) {
    let Some(job) = node.jobs.own_job(id) else { return };
    if job.borrow().closed || job.borrow().revision > revision {
        return;
    }
    slog::warn!(node.log, "job: stopped, as it does not exist"; "job" => id,
        "revision" => revision, "listed" => job.borrow().listed());
    job.borrow_mut().close();
    monoio::spawn(retire(node.clone(), job, false));
}

/// Saves the text of unfinished items for later jobs if the job has `ended` and is kept, and
/// removes the job from memory after some time, or when others need the memory.
async fn retire(node: Rc<Node>, job: Rc<RefCell<Job>>, ended: bool) {
    if ended {
        save::save(&node, &job, 1).await;
    }
    let until = BootClock.now() + CLOSED_JOB_TTL;
    while BootClock.now() < until && !node.job_memory.is_scarce() {
        sleep(CLOSED_JOB_CHECK).await;
    }
    node.jobs.remove(&job);
}

/// Splits writes into transactions of bounded size, in order.
pub(crate) fn split_writes(writes: Vec<Write>) -> Vec<Vec<Write>> {
    split(writes, |write| write.value.as_ref().map_or(0, String::len))
}

/// Splits what is written in one row each into transactions of bounded size, in order. `bytes`
/// returns the size of a row's value.
pub(crate) fn split<T>(rows: Vec<T>, bytes: impl Fn(&T) -> usize) -> Vec<Vec<T>> {
    let mut batches: Vec<Vec<T>> = Vec::new();
    let mut size = 0;
    for row in rows {
        let bytes = bytes(&row);
        let full = batches.last().is_none_or(|batch| batch.len() >= MAX_COMMIT_ROWS);
        if full || size + bytes > MAX_COMMIT_BYTES {
            batches.push(Vec::new());
            size = 0;
        }
        size += bytes;
        batches.last_mut().expect("a batch was pushed").push(row);
    }
    batches
}

/// Records in the store that the client has ended a job.
pub(crate) async fn end(node: &Rc<Node>, id: &Name, mut entry: VersionedHead) -> Result<(), Error> {
    let mut last = Error::Unknown;
    for _ in 0..MAX_TRIES {
        if entry.head.ended {
            return Ok(());
        }
        // Holders of the duties of earlier releases remove an ended job without a time at once.
        let now = || node.store_clock.millis(BootClock.now()).unwrap_or_default();
        let accepted_ms = entry.head.accepted().unwrap_or_else(now);
        let head = JobHead { ended: true, accepted_ms, ..entry.head.clone() };
        match write_head(node, id, &head, entry.revision).await {
            Ok(revision) => {
                let entry = VersionedHead { head, revision };
                index::notify_owner(node, id, &entry);
                node.jobs.update_head(id, entry);
                check_ownership(node, id);
                return Ok(());
            }
            Err(error) => last = error,
        }
        match read_head(node, id).await? {
            Some(newer) => entry = newer,
            None => return Ok(()),
        }
    }
    Err(last)
}

/// Writes a head under the condition that its row still has the given revision, and
/// returns the new one.
pub(crate) async fn write_head(
    node: &Node,
    id: &str,
    head: &JobHead,
    revision: u64,
) -> Result<u64, Error> {
    let key = rows::head_key(id);
    let conditions = vec![Condition { key: key.clone(), revision }];
    let writes = vec![Write { key, value: Some(head.encode()) }];
    node.commit(conditions, writes).await
}

/// Reads a head from the store, records it and checks the ownership of the job. Returns
/// `None` if the job does not exist or is being removed.
pub(crate) async fn read_head(node: &Rc<Node>, id: &Name) -> Result<Option<VersionedHead>, Error> {
    let key = rows::head_key(id);
    let known = node.jobs.entry(id);
    let mut found = node.store.read(vec![key.clone()]).await?;
    let Some(row) = found.remove(&key) else {
        // A head that was recorded during the read may be newer than the answer.
        if let Some(known) = known {
            index::drop_head(node, id, known.revision);
        }
        return Ok(None);
    };
    let head = serde_json::from_str(&row.value).map_err(|_| Error::Malformed)?;
    let entry = VersionedHead { head, revision: row.revision };
    node.jobs.update_head(id, entry.clone());
    check_ownership(node, id);
    Ok(Some(entry).filter(|entry| !entry.head.removing))
}

/// Hands over all jobs before a planned stop: stops their runs, saves results and text
/// while there is time, and leaves the jobs without an owner for other nodes.
pub(crate) async fn hand_over(node: &Rc<Node>, within: Duration) {
    let until = BootClock.now() + within;
    for job in node.jobs.open_jobs() {
        job.borrow_mut().stop_runs();
        monoio::spawn(save::save_and_release(node.clone(), job, until));
    }
    while !node.jobs.open_jobs().is_empty() && BootClock.now() < until {
        sleep(HAND_OVER_CHECK_INTERVAL).await;
    }
}
