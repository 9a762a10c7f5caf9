//! The parts in which a node runs batch jobs that its memory can't hold.
//!
//! Accepted jobs lie in the store. Their owner reads as many of a job's items as its memory permits,
//! and the next ones when these have their results. A job that finds no memory waits. The load that
//! this answers is jobs of a few megabytes with very many items, each of which takes about twenty
//! times as much memory as text, and several jobs of large items. See
//! `docs/incidents/jobs-of-many-items.md`.

use std::{cell::RefCell, collections::BTreeSet, rc::Rc, time::Duration};

use monoio::time::sleep;
use tamarackdock_platform::Error;

use super::{
    Item, ItemResult, Submission, commit,
    index::VersionedHead,
    job::Job,
    rows::{self, JobHead},
    submit,
};
use crate::{
    call::fingerprint,
    deployment::Name,
    http::{Budget, Reservation},
    node::Node,
    turn::Turn,
};

/// Most items of a part, twice those of a large step. All of them are looked at whenever one can
/// start.
pub(crate) const MAX_ITEMS: usize = 4096;
/// Most items of a job. The keys of results have six digits.
pub(crate) const MAX_JOB_ITEMS: usize = 1_000_000;
/// Part of the memory for jobs that only small ones may use, so that they run beside large ones.
const RESERVED_DIVISOR: usize = 8;
/// Part of the memory for jobs that a small one may take, and the smallest part of a large one.
const SMALL_DIVISOR: usize = 16;
/// Memory of a job with its tasks, besides its items.
const JOB_BYTES: usize = 16 * 1024;
/// Memory of a head, which every node keeps.
const HEAD_BYTES: usize = 1024;
/// Memory of heads as a part of that for jobs.
const HEADS_DIVISOR: usize = 4;
/// Items of a job for each slot of all targets from which on it is no step of a trainer: its items
/// run one after the other on each slot, for far longer than trainers wait.
const BULK_ITEMS_PER_SLOT: usize = 16;
/// Pause before a job that found no memory tries again.
const WAIT: Duration = Duration::from_millis(250);
/// Bytes of text between two looks at the time that reading takes.
pub(crate) const READ_BYTES: usize = 16 * 1024;

/// Decides how much memory jobs may take.
#[derive(Debug)]
pub(crate) struct Memory {
    budget: Budget,
}

impl Memory {
    pub(crate) fn new(bytes: usize) -> Self {
        Self { budget: Budget::new(bytes) }
    }

    /// Returns how many bytes a job may take now, if it takes about `estimate` as a whole, or `None`
    /// if it has to wait. A large job takes what others leave, except for a reserve.
    pub(crate) fn allowance(&self, estimate: usize) -> Option<usize> {
        let free = self.budget.size().saturating_sub(self.budget.used());
        let small = self.budget.size() / SMALL_DIVISOR;
        if estimate <= small {
            return (free >= estimate).then_some(free);
        }
        let left = free.saturating_sub(self.budget.size() / RESERVED_DIVISOR);
        (left >= small).then_some(left)
    }

    /// Uses memory as a job does.
    #[cfg(test)]
    pub(crate) fn reserve_for_tests(&self, bytes: usize) -> Reservation {
        let mut reservation = self.budget.reservation();
        assert!(reservation.grow(bytes));
        reservation
    }

    /// Returns whether another job can be accepted beside `heads` known ones. All nodes keep the
    /// heads of all jobs.
    pub(crate) fn has_room_for_head(&self, heads: usize) -> bool {
        heads < self.budget.size() / HEADS_DIVISOR / HEAD_BYTES
    }

    /// Returns the bytes that results of one job may keep in memory. Earlier ones are read from the
    /// store.
    pub(crate) fn results(&self) -> usize {
        self.budget.size() / SMALL_DIVISOR
    }

    /// Returns whether what is not needed should be dropped.
    pub(crate) fn is_scarce(&self) -> bool {
        !self.budget.is_half_free()
    }

    /// Returns the bytes that loaded jobs take.
    pub(crate) fn used(&self) -> usize {
        self.budget.used()
    }
}

/// Returns whether a job is too large to be a step of a trainer, so that its items go after those of
/// steps.
pub(crate) fn is_bulk(items: usize, slots: usize) -> bool {
    items > slots.saturating_mul(BULK_ITEMS_PER_SLOT)
}

/// Gathers the items of a part from those of a job, in their order.
#[derive(Debug)]
pub(crate) struct Collector {
    items: Vec<Item>,
    memory: Reservation,
    /// Bytes that the part may still take.
    left: usize,
    /// Number of items that were offered, or passed over before.
    seen: usize,
    /// Number of the first item behind the part.
    next: Option<usize>,
    /// Items that have results, which the part leaves out.
    finished: BTreeSet<u64>,
}

impl Collector {
    /// Begins a part of `allowance` bytes behind the first `skipped` items, without items that have
    /// the ids in `finished`.
    pub(crate) fn new(
        memory: &Memory,
        allowance: usize,
        skipped: usize,
        finished: BTreeSet<u64>,
    ) -> Self {
        let mut reservation = memory.budget.reservation();
        reservation.grow(JOB_BYTES);
        let left = allowance.saturating_sub(JOB_BYTES);
        Self { items: Vec::new(), memory: reservation, left, seen: skipped, next: None, finished }
    }

    /// Takes an item if there is memory for it and for all items before it.
    pub(crate) fn offer(&mut self, item: Item) {
        let number = self.seen;
        self.seen += 1;
        let is_finished = || {
            !self.finished.is_empty() && self.finished.contains(&fingerprint(item.id.as_bytes()))
        };
        if self.next.is_some() || is_finished() {
            return;
        }
        let bytes = item.memory();
        let fits = self.items.len() < MAX_ITEMS && bytes <= self.left && self.memory.grow(bytes);
        if fits {
            self.left -= bytes;
            self.items.push(item);
        } else {
            self.next = Some(number);
        }
    }

    /// Returns whether no more items are taken.
    pub(crate) fn is_full(&self) -> bool {
        self.next.is_some()
    }

    /// Returns the number of items that were offered or passed over.
    pub(crate) fn seen(&self) -> usize {
        self.seen
    }

    /// Gives up the part, and releases its memory.
    pub(crate) fn release(&mut self) {
        self.items = Vec::new();
        self.memory.release();
    }

    /// Ends the part.
    pub(crate) fn finish(self, outline: Submission) -> Part {
        let submission = Submission { items: self.items, ..outline };
        Part { submission, next: self.next.unwrap_or(self.seen), memory: self.memory }
    }
}

/// A part of a job in memory.
#[derive(Debug)]
pub(crate) struct Part {
    /// The job with the items of the part.
    pub(crate) submission: Submission,
    /// Number of the first item of the job behind the part.
    pub(crate) next: usize,
    /// Memory of the part, until it is dropped.
    pub(crate) memory: Reservation,
}

/// Reads text, and lets others run in between.
pub(crate) async fn read_text(
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
pub(crate) async fn read_rows(
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
async fn read(
    node: &Node,
    id: &str,
    head: &JobHead,
    known: Known,
    allowance: usize,
) -> Result<Part, Error> {
    let Known { outline, skipped, finished } = known;
    let mut reader = node.wire_format.submission_reader();
    reader.skip(skipped);
    let mut collector = Collector::new(&node.job_memory, allowance, skipped, finished);
    let mut turn = Turn::default();
    let has_outline = outline.is_some();
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
        Ok(!(has_outline && collector.is_full()))
    })
    .await?;
    let outline = match outline {
        Some(outline) => outline,
        None => reader.finish().map_err(|_| Error::Malformed)?,
    };
    Ok(collector.finish(outline))
}

/// Returns about how many bytes of memory a job takes as a whole.
fn estimate(node: &Node, head: &JobHead) -> usize {
    Item::memory_of(head.items, head.chunks.saturating_mul(node.row_bytes() / 2)) + JOB_BYTES
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
    known: Known,
) -> Result<Option<Part>, Error> {
    let Some(allowance) = node.job_memory.allowance(estimate(node, head)) else { return Ok(None) };
    let part = read(node, id, head, known, allowance).await?;
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
    known: impl Fn() -> Known,
) -> Result<Option<Part>, Error> {
    let is_owned = || {
        let entry = node.jobs.entry(id);
        !node.is_leaving()
            && entry.is_none_or(|entry| entry.head.owner == head.owner && !entry.head.ended)
    };
    let mut has_waited = false;
    while is_owned() {
        if let Some(part) = try_load(node, id, head, known()).await? {
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
        let surplus = surplus(bytes, node.job_memory.results(), &listed.results);
        bytes -= listed.results.drain(..surplus).map(|result| result.memory()).sum::<usize>();
        listed.first += surplus;
    }
}

/// Returns how many of the oldest results of `bytes` are to be dropped so that half of `most` are
/// left, if there are more than `most`. The newest one is kept.
pub(crate) fn surplus<T: AsRef<ItemResult>>(mut bytes: usize, most: usize, results: &[T]) -> usize {
    if bytes <= most {
        return 0;
    }
    let droppable = results.len().saturating_sub(1);
    let dropped = results.iter().take(droppable).take_while(|result| {
        let drops = bytes > most / 2;
        bytes = bytes.saturating_sub(result.as_ref().memory());
        drops
    });
    dropped.count()
}

/// Goes on with the next part of a job once the items of this one have their results, unless the job
/// is closed or complete before. Each part is a job of its own to the tasks that run its items, so
/// that none that ends late takes an item for another one.
pub(crate) async fn run(node: Rc<Node>, job: Rc<RefCell<Job>>) {
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
    let known = || Known {
        outline: Some(before.outline.clone()),
        skipped: before.next_item,
        finished: BTreeSet::new(),
    };
    loop {
        match load(&node, &before.id, &before.head, known).await {
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
) -> Result<Option<bytes::Bytes>, Error> {
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
