use std::time::Duration;

use tamarackdock_types::clock::Instant;

/// Largest size of an object in bytes, unless a single sample is larger.
pub(super) const MAX_CHUNK_BYTES: usize = 1 << 20;
/// Largest size of a page in bytes, unless a single group is larger. It bounds
/// the response to one read.
pub(super) const MAX_PAGE_BYTES: u64 = 4 << 20;
/// Shortest time between two writes of the row: the table service allows
/// several hundred writes a second for all users together.
const MIN_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest time before the write that completes the step, since the trainer
/// waits for it.
const FINAL_INTERVAL: Duration = Duration::from_millis(50);
/// Divides the step's samples: a write is due as soon as 1/16 of them wait for it.
const BATCH_DIVISOR: u32 = 16;
/// Longest time that a sample waits for a write, during the first
/// [`WRITES_PER_DOUBLING`] writes.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// Number of writes after which the longest wait doubles. 64 writes then cover
/// 480 s, twice the time in which a step completes.
const WRITES_PER_DOUBLING: u32 = 16;

/// The state on which the time of the next write of the row depends.
#[derive(Debug, Clone, Copy)]
pub(super) struct Schedule {
    pub(super) last_commit: Option<Instant>,
    pub(super) waiting_since: Option<Instant>,
    pub(super) waiting: u32,
    pub(super) total: u32,
    pub(super) writes: u32,
    /// Whether every slot has a sample and there is something to write.
    pub(super) all_filled: bool,
    /// Whether the next write includes all samples that the holder has.
    pub(super) covers_all: bool,
    /// Whether a read of the trainer waits for groups that are complete.
    pub(super) groups_requested: bool,
}

impl Schedule {
    pub(super) fn is_due(&self, now: Instant) -> bool {
        let interval_passed = self.last_commit.is_none_or(|last| now.since(last) >= MIN_INTERVAL);
        let doublings = (self.writes / WRITES_PER_DOUBLING).min(8);
        let max_wait = MAX_WAIT * 2u32.pow(doublings);
        let late = self.waiting_since.is_some_and(|since| now.since(since) >= max_wait);
        let full = self.waiting > 0 && self.waiting >= self.total.div_ceil(BATCH_DIVISOR);
        let pause = MIN_INTERVAL * 2u32.pow(doublings);
        let placement_due =
            self.groups_requested && self.last_commit.is_none_or(|last| now.since(last) >= pause);
        let completes = self.all_filled && self.covers_all;
        let final_write =
            completes && self.last_commit.is_none_or(|last| now.since(last) >= FINAL_INTERVAL);
        final_write || interval_passed && (late || full || self.all_filled || placement_due)
    }
}
