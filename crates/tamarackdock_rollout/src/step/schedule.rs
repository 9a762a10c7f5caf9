use std::time::Duration;

use tamarackdock_types::clock::Instant;

/// Largest size of an object, unless one sample is larger, in bytes.
pub(super) const MAX_CHUNK_BYTES: usize = 1 << 20;
/// Largest size of a page, unless one group is larger, in bytes. It bounds the
/// response to one read.
pub(super) const MAX_PAGE_BYTES: u64 = 4 << 20;
/// The table service allows several hundred writes a second for all users.
const MIN_INTERVAL: Duration = Duration::from_secs(1);
/// Pause before a write that completes the step, for which a trainer waits.
const LAST_INTERVAL: Duration = Duration::from_millis(50);
/// A sixteenth of the step is recorded as soon as it is there.
const FULL_SHARE: u32 = 16;
/// Longest wait of a sample for its record in the first writes.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// After this count of writes the longest wait doubles: 64 writes then cover
/// 480 s, twice the time in which a step completes.
const WRITES_PER_DOUBLING: u32 = 16;

/// What the time of the next record depends on.
#[derive(Debug, Clone, Copy)]
pub(super) struct Schedule {
    pub(super) last: Option<Instant>,
    pub(super) waiting_since: Option<Instant>,
    pub(super) waiting: u32,
    pub(super) total: u32,
    pub(super) writes: u32,
    /// Whether every slot has a sample and there is something to write.
    pub(super) all_filled: bool,
    /// Whether the next write has all samples that there are.
    pub(super) is_last: bool,
    /// Whether the trainer waits for groups that are complete.
    pub(super) demanded: bool,
}

impl Schedule {
    pub(super) fn is_due(&self, now: Instant) -> bool {
        let rested = self.last.is_none_or(|last| now.since(last) >= MIN_INTERVAL);
        let doublings = (self.writes / WRITES_PER_DOUBLING).min(8);
        let longest = MAX_WAIT * 2u32.pow(doublings);
        let late = self.waiting_since.is_some_and(|since| now.since(since) >= longest);
        let full = self.waiting > 0 && self.waiting >= self.total.div_ceil(FULL_SHARE);
        let pause = MIN_INTERVAL * 2u32.pow(doublings);
        let demanded = self.demanded && self.last.is_none_or(|last| now.since(last) >= pause);
        let completes = self.all_filled && self.is_last;
        let ended = completes && self.last.is_none_or(|last| now.since(last) >= LAST_INTERVAL);
        ended || rested && (late || full || self.all_filled || demanded)
    }
}
