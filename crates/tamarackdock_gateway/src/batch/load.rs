//! Reads batch jobs from the store, as far as there is memory for them. The decisions are those of
//! [`part`](super::part).

use std::{cell::RefCell, collections::BTreeSet, rc::Rc, time::Duration};

use bytes::Bytes;
use monoio::time::sleep;
use tamarackdock_platform::Error;

use super::{
    Item, ItemResult, Submission, commit,
    index::VersionedHead,
    job::Job,
    part::{self, Collector, Part},
    rows::{self, JobHead},
    submit,
};
use crate::{call::fingerprint, deployment::Name, node::Node, turn::Turn};

/// Pause before a job that found no memory tries again.
const WAIT: Duration = Duration::from_millis(250);
/// Bytes of text between two looks at the time that reading takes.
pub(crate) const READ_BYTES: usize = 16 * 1024;

/// Reads text, and lets others run in between.
async fn read_text(
    text: &[u8],
    turn: &mut Turn,
    mut read: impl FnMut(&[u8]) -> Result<(), Error>,
) -> Result<(), Error> {
    for piece in text.chunks(READ_BYTES) {
        read(piece)?;
        turn.pause_if_over().await;
    }
    Ok(())
}

/// Passes on the rows of a job's submission in order, until there are no more or `read` returns
/// `false`.
async fn read_rows(
    node: &Node,
    id: &str,
    head: &JobHead,
    mut read: impl AsyncFnMut(&str) -> Result<bool, Error>,
) -> Result<(), Error> {
    let mut next = 0;
    while next < head.chunks {
        let from = rows::submission_key(id, Some(next));
        let page = node.store.range(rows::submission_key(id, None), from).await?;
        if page.is_empty() {
            return Err(Error::Malformed);
        }
        for row in &page {
            if !read(&row.value).await? {
                return Ok(());
            }
        }
        next += page.len();
    }
    Ok(())
}

/// What is known of a job before a part of it is read.
#[derive(Debug, Default)]
pub(crate) struct Known {
    /// The job without its items, after the first part.
    pub(crate) outline: Option<Submission>,
    /// Number of items of earlier parts.
    pub(crate) skipped: usize,
    /// Ids of items that have results, by their fingerprints.
    pub(crate) finished: BTreeSet<u64>,
}

/// Reads a part of a job from the store, within an allowance of memory.
async fn read_part(
    node: &Node,
    id: &str,
    head: &JobHead,
    known: &Known,
    allowance: usize,
) -> Result<Part, Error> {
    let mut reader = node.wire_format.submission_reader();
    reader.skip(known.skipped);
    let mut collector =
        Collector::new(&node.job_memory, allowance, known.skipped, known.finished.clone());
    let mut turn = Turn::default();
    read_rows(node, id, head, async |text| {
        read_text(text.as_bytes(), &mut turn, |piece| {
            if collector.is_full() {
                // Only the fields of the job are still needed.
                reader.skip(usize::MAX);
            }
            let taken = reader.read(piece, &mut |item| collector.offer(item));
            taken.map_err(|_| Error::Malformed)
        })
        .await?;
        Ok(known.outline.is_none() || !collector.is_full())
    })
    .await?;
    let outline = match &known.outline {
        Some(outline) => outline.clone(),
        None => reader.finish().map_err(|_| Error::Malformed)?,
    };
    Ok(collector.finish(outline))
}

/// Returns about how many bytes of memory a job takes as a whole.
fn estimate(node: &Node, head: &JobHead) -> usize {
    part::estimate(head.items, head.chunks.saturating_mul(node.row_bytes() / 2))
}

/// Returns whether this node has memory for a part of a job.
pub(crate) fn has_room(node: &Node, head: &JobHead) -> bool {
    node.job_memory.allowance(estimate(node, head)).is_some()
}

/// Reads a part of a job if there is memory for it. An item that is larger than what is free waits
/// for more.
pub(crate) async fn try_load(
    node: &Node,
    id: &Name,
    head: &JobHead,
    known: &Known,
) -> Result<Option<Part>, Error> {
    let Some(allowance) = node.job_memory.allowance(estimate(node, head)) else { return Ok(None) };
    let part = read_part(node, id, head, known, allowance).await?;
    if part.submission.items.is_empty() && part.next < head.items {
        return Ok(None);
    }
    slog::info!(node.log, "job: items loaded"; "job" => &**id,
        "items" => part.submission.items.len(), "next" => part.next, "of" => head.items,
        "used" => node.job_memory.used());
    Ok(Some(part))
}

/// Reads a part of a job, once there is memory for it. Returns `None` if this node does not own the
/// job any more.
pub(crate) async fn load(
    node: &Rc<Node>,
    id: &Name,
    head: &JobHead,
    known: &Known,
) -> Result<Option<Part>, Error> {
    let is_owned = || {
        let entry = node.jobs.entry(id);
        !node.is_leaving()
            && entry.is_none_or(|entry| entry.head.owner == head.owner && !entry.head.ended)
    };
    let mut has_waited = false;
    while is_owned() {
        if let Some(part) = try_load(node, id, head, known).await? {
            return Ok(Some(part));
        }
        if !has_waited {
            slog::info!(node.log, "job: waits for memory"; "job" => &**id, "items" => head.items,
                "estimate" => estimate(node, head), "used" => node.job_memory.used());
        }
        has_waited = true;
        sleep(WAIT).await;
    }
    Ok(None)
}

/// Results of a job that the store holds.
#[derive(Debug, Default)]
pub(crate) struct Listed {
    /// Position of the first one in `results`.
    pub(crate) first: usize,
    /// The newest ones.
    pub(crate) results: Vec<ItemResult>,
    /// Ids of the items of all of them, by their fingerprints.
    pub(crate) finished: BTreeSet<u64>,
}

/// Reads the results of a job from the store, of which the newest ones are kept.
pub(crate) async fn read_listed(node: &Node, id: &str) -> Result<Listed, Error> {
    let mut listed = Listed::default();
    let mut bytes = 0;
    loop {
        let position = listed.first + listed.results.len();
        let more = commit::read_results(node, id, position).await?;
        if more.is_empty() {
            return Ok(listed);
        }
        listed.finished.extend(more.iter().map(|result| fingerprint(result.id.as_bytes())));
        bytes += more.iter().map(ItemResult::memory).sum::<usize>();
        listed.results.extend(more);
        let surplus = part::surplus(bytes, node.job_memory.results(), &listed.results);
        bytes -= listed.results.drain(..surplus).map(|result| result.memory()).sum::<usize>();
        listed.first += surplus;
    }
}

/// Goes on with the next part of a job once the items of this one have their results, unless the job
/// is closed or complete before. Each part is a job of its own to the tasks that run its items, so
/// that none that ends late takes an item for another one.
pub(crate) async fn run_parts(node: Rc<Node>, job: Rc<RefCell<Job>>) {
    let changed = job.borrow().changed.clone();
    loop {
        let seen = changed.count();
        if job.borrow().closed || job.borrow().is_complete() {
            return;
        }
        if job.borrow().is_part_done() {
            break;
        }
        changed.changed_since(seen).await;
    }
    let guard = node.jobs.mark_starting(&job.borrow().id);
    let before = job.borrow_mut().end_part();
    node.jobs.remove(&job);
    // The memory of this part is needed for the next one.
    drop(job);
    let known = Known {
        outline: Some(before.outline),
        skipped: before.next_item,
        finished: BTreeSet::new(),
    };
    loop {
        match load(&node, &before.id, &before.head, &known).await {
            Ok(Some(part)) => {
                let entry = node.jobs.entry(&before.id).unwrap_or(VersionedHead {
                    head: before.head.clone(),
                    revision: before.revision,
                });
                let next = submit::create(&node, before.id.clone(), entry, part);
                next.borrow_mut().continue_listing(before.first, before.results);
                return submit::run(&node, &next, guard);
            }
            Ok(None) => return,
            Err(error) => {
                node.store_failed("part", &error);
                sleep(WAIT).await;
            }
        }
    }
}

/// Returns the body of an item of a job that is in the store, or `None` if the job has no such item.
pub(crate) async fn find_body(
    node: &Node,
    id: &str,
    head: &JobHead,
    item: &str,
) -> Result<Option<Bytes>, Error> {
    let mut reader = node.wire_format.submission_reader();
    let mut found = None;
    let mut turn = Turn::default();
    read_rows(node, id, head, async |text| {
        read_text(text.as_bytes(), &mut turn, |piece| {
            let mut take = |candidate: Item| {
                if *candidate.id == *item {
                    found.get_or_insert(candidate.body);
                }
            };
            reader.read(piece, &mut take).map_err(|_| Error::Malformed)
        })
        .await?;
        Ok(found.is_none())
    })
    .await?;
    Ok(found)
}
