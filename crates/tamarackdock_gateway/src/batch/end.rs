//! The end of batch jobs: by their client, by another node, by their age.

use std::{cell::RefCell, rc::Rc, time::Duration};

use monoio::time::sleep;
use tamarackdock_platform::{
    Error,
    table::{Condition, Write},
};
use tamarackdock_types::clock::{BootClock, Clock};

use super::{
    index::{self, Entry},
    job::Job,
    rows::{self, Head},
    save,
};
use crate::{deployment::Name, node::Node};

/// How long a job stays in memory after its end, for groups that come again.
const KEEP_CLOSED: Duration = Duration::from_secs(12);
/// Tries to write the end of a job.
const TRIES: usize = 3;
/// Bytes of text that one transaction takes.
const MAX_COMMIT: usize = 400 * 1024;
/// Rows that one transaction takes.
const MAX_ROWS: usize = 90;
/// Time between looks whether all jobs were handed over.
const HAND_OVER_INTERVAL: Duration = Duration::from_millis(20);

/// Compares a job that this node runs with its head, and stops running it if
/// the client has ended it or another node has taken it over.
pub(crate) fn check(node: &Rc<Node>, id: &str) {
    let (Some(job), Some(entry)) = (node.jobs.own(id), node.jobs.head(id)) else { return };
    let stale = entry.revision <= job.borrow().revision;
    let mine = entry.head.owner.as_ref() == Some(&node.members.own);
    if stale || job.borrow().closed {
        return;
    }
    if mine && !entry.head.ended && entry.head.epoch == job.borrow().head.epoch {
        job.borrow_mut().revision = entry.revision;
        return;
    }
    slog::info!(node.log, "job: stopped"; "job" => id, "ended" => entry.head.ended,
        "owner" => entry.head.owner.as_ref().map(|run| run.host.to_string()),
        "listed" => job.borrow().listed.len());
    if mine {
        // The text of unfinished items is saved under the condition of this revision.
        job.borrow_mut().revision = entry.revision;
    }
    job.borrow_mut().close();
    monoio::spawn(retire(node.clone(), job, entry.head.ended));
}

/// Keeps the text of unfinished items for later jobs, then forgets the job.
async fn retire(node: Rc<Node>, job: Rc<RefCell<Job>>, ended: bool) {
    if ended {
        save::save(&node, &job, 1).await;
    }
    sleep(KEEP_CLOSED).await;
    node.jobs.remove(&job);
}

/// Splits writes into transactions of bounded size.
pub(crate) fn batches(writes: Vec<Write>) -> Vec<Vec<Write>> {
    let mut batches: Vec<Vec<Write>> = Vec::new();
    let mut size = 0;
    for write in writes {
        let bytes = write.value.as_ref().map_or(0, String::len);
        let full = batches.last().is_none_or(|batch| batch.len() >= MAX_ROWS);
        if full || size + bytes > MAX_COMMIT {
            batches.push(Vec::new());
            size = 0;
        }
        size += bytes;
        batches.last_mut().expect("a batch was pushed").push(write);
    }
    batches
}

/// Records in the store that a client has ended a job.
pub(crate) async fn end(node: &Rc<Node>, id: &Name, mut entry: Entry) -> Result<(), Error> {
    let mut last = Error::Unknown;
    for _ in 0..TRIES {
        if entry.head.ended {
            return Ok(());
        }
        let head = Head { ended: true, ..entry.head.clone() };
        match write_head(node, id, &head, entry.revision).await {
            Ok(revision) => {
                let entry = Entry { head, revision };
                index::notify_owner(node, id, &entry);
                node.jobs.record(id, entry);
                check(node, id);
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

/// Writes a head under the condition that the old one is unchanged.
pub(crate) async fn write_head(
    node: &Node,
    id: &str,
    head: &Head,
    revision: u64,
) -> Result<u64, Error> {
    let key = rows::head(id);
    let conditions = vec![Condition { key: key.clone(), revision }];
    let writes = vec![Write { key, value: Some(head.encode()) }];
    node.commit(conditions, writes).await
}

/// Reads a head from the store and records it. An absent one is `None`.
pub(crate) async fn read_head(node: &Rc<Node>, id: &Name) -> Result<Option<Entry>, Error> {
    let key = rows::head(id);
    let mut found = node.store.read(vec![key.clone()]).await?;
    let Some(row) = found.remove(&key) else { return Ok(None) };
    let head = serde_json::from_str(&row.value).map_err(|_| Error::Malformed)?;
    let entry = Entry { head, revision: row.revision };
    node.jobs.record(id, entry.clone());
    check(node, id);
    Ok(Some(entry))
}

/// Hands all jobs over before a planned stop. Results and text go to the store
/// first, as long as there is time.
pub(crate) async fn hand_over(node: &Rc<Node>, within: Duration) {
    let until = BootClock.now() + within;
    for job in node.jobs.open() {
        job.borrow_mut().stop_runs();
        monoio::spawn(save::last(node.clone(), job, until));
    }
    while !node.jobs.open().is_empty() && BootClock.now() < until {
        sleep(HAND_OVER_INTERVAL).await;
    }
}
