//! Decides in which parts a node runs batch jobs that its memory can't hold. The parts are read by
//! [`load`](super::load).
//!
//! Accepted jobs lie in the store. Their owner reads as many of a job's items as its memory permits,
//! and the next ones when these have their results. A job that finds no memory waits. The load that
//! this answers is jobs of a few megabytes with very many items, each of which takes about twenty
//! times as much memory as text, and several jobs of large items. See
//! `docs/incidents/jobs-of-many-items.md`.

use std::collections::BTreeSet;

use super::{Item, ItemResult, Submission};
use crate::{
    call::fingerprint,
    http::{Budget, Reservation},
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

    /// Returns a reservation of no bytes yet.
    pub(crate) fn reservation(&self) -> Reservation {
        self.budget.reservation()
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

/// Returns about how many bytes of memory a job takes as a whole, by its items and the bytes of its
/// submission.
pub(crate) fn estimate(items: usize, bytes: usize) -> usize {
    Item::memory_of(items, bytes).saturating_add(JOB_BYTES)
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
        let mut reservation = memory.reservation();
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
