//! The state of a batch job on the node that runs it. A pure state machine: tasks
//! report events to it, and it returns which items may start and which results
//! are to be committed.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    rc::Rc,
    time::Duration,
};

use tamarackdock_route::refusal;
use tamarackdock_types::clock::Instant;

use super::{
    Item, ItemOutcome, ItemResult, Submission,
    backoff::{Backoff, REFUSED_PAUSE},
    part,
    progress::{Progress, Saved},
    rows::JobHead,
    scoring::{self, Scoring},
};
use crate::{call::fingerprint, deployment::Name, http::Reservation, notify::Notify};

/// Longest pause after runs in a row that broke without any event. The item itself may crash
/// its targets.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Pause after a run for which no node had a path.
const NO_PATH_PAUSE: Duration = Duration::from_millis(150);
/// Time that a target takes for an event, about.
const TIME_PER_EVENT: Duration = Duration::from_millis(35);
/// Output tokens that an event is estimated to hold.
pub(crate) const TOKENS_PER_EVENT: u64 = 50;
/// Bytes of a request that hold a token of its prompt, about.
const BYTES_PER_TOKEN: usize = 4;

/// Where an item is between its submission and its result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Waits for a target.
    Waiting,
    /// Runs on the target with this id.
    Running(Name),
    /// Has its complete text, which the store does not hold yet. The scoring call waits
    /// for that, so that no other owner makes a different text after the call was sent.
    Generated,
    /// Has its complete text in the store and waits for its scoring call.
    Unscored,
    /// The scoring call is in progress.
    Scoring,
    /// Has a result, committed or not yet.
    Finished,
}

/// An item of a job with the state of its runs.
#[derive(Debug, Clone)]
pub(crate) struct JobItem {
    pub(crate) request: Item,
    pub(crate) phase: Phase,
    pub(crate) progress: Progress,
    /// Whether the item's group began in an earlier job. The trainer waits for
    /// such a group, whichever others are complete.
    pub(crate) carried: bool,
    /// Index of the item's group among those of the job.
    pub(crate) group: usize,
    /// Number of runs for which a target reported a failure.
    failures: u32,
    /// Refusals since a target last accepted the item.
    pub(crate) refusals: refusal::History,
    /// Runs in a row that broke without an event.
    breaks: Backoff,
    /// Number of runs that were moved to another target.
    pub(crate) moves: u32,
    /// Earliest time of the next run or scoring call.
    pub(crate) not_before: Instant,
    /// Since when the item waits for a target that can continue its text although others have
    /// room.
    held_since: Option<Instant>,
    /// Attempts of the scoring call so far.
    pub(crate) scoring: Scoring,
}

impl JobItem {
    /// Returns the estimated number of remaining events.
    pub(crate) fn remaining_events(&self) -> u64 {
        self.remaining_tokens() / TOKENS_PER_EVENT
    }

    /// Returns about how many tokens a target reads before the next event.
    pub(crate) fn read_tokens(&self) -> usize {
        let text = self.progress.event_count() as u64 * TOKENS_PER_EVENT;
        self.request.body.len() / BYTES_PER_TOKEN + usize::try_from(text).unwrap_or_default()
    }

    /// Returns the estimated output tokens that the item has, or gets from its run.
    pub(crate) fn received_tokens(&self) -> u64 {
        match self.phase {
            Phase::Waiting => self.progress.event_count() as u64 * TOKENS_PER_EVENT,
            _ => self.request.estimated_tokens(),
        }
    }

    /// Returns the estimated number of remaining output tokens.
    pub(crate) fn remaining_tokens(&self) -> u64 {
        let received = self.progress.event_count() as u64 * TOKENS_PER_EVENT;
        // An item that has exceeded its estimate is probably one of the long ones.
        self.request.estimated_tokens().checked_sub(received).unwrap_or(received / 2).max(1)
    }
}

/// Where there is room for a waiting item whose text no target with room can continue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Room {
    /// No target can continue the text.
    Never,
    /// Targets that can continue the text are full, and others could begin it again.
    Elsewhere,
    /// All targets are full.
    Later,
}

/// How a run of an item ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunOutcome {
    /// The output is complete.
    Completed,
    /// The target did not run the item.
    Refused,
    /// The target answered with a failure after running the item.
    Failed,
    /// The target answered that the item can't be processed by any target.
    Impossible,
    /// The connection broke or timed out, or the answer could not be used.
    Broken,
    /// The target's weights are older than the job accepts, or differ from those
    /// of the text so far on a route that needs a single version.
    WrongVersion,
    /// The run was stopped because a faster target has room.
    Moved,
    /// A connection that had been idle was closed before any byte of an answer, which says
    /// nothing about the target.
    Stale,
    /// The path to the target was lost, which says nothing about the target.
    PathLost,
    /// No node has a path to the target.
    NoPath,
    /// The request was not sent: the item's route is gone, or the target can't continue its text.
    /// That says nothing about the target.
    NotSent,
}

/// What the next part of a job needs of the one before.
#[derive(Debug)]
pub(crate) struct EndedPart {
    pub(crate) id: Name,
    pub(crate) head: JobHead,
    pub(crate) revision: u64,
    /// The job without items.
    pub(crate) outline: Submission,
    /// Number of the first item of the next part.
    pub(crate) next_item: usize,
    /// Position of the first one in `results`.
    pub(crate) first: usize,
    pub(crate) results: Vec<Rc<ItemResult>>,
}

/// A batch job that this node runs, or a part of it.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) id: Name,
    pub(crate) head: JobHead,
    /// Revision of the head's row, which is a condition of each commit.
    pub(crate) revision: u64,
    pub(crate) submission: Rc<Submission>,
    pub(crate) items: Vec<JobItem>,
    /// Number of groups of the items.
    pub(crate) group_count: usize,
    /// Number of the first item of the job behind those in `items`, if the job runs in parts.
    pub(crate) next_item: usize,
    /// Memory of the job, which is released with it.
    pub(crate) memory: Option<Reservation>,
    /// Position of the first one in `results`. Those before it are in the store only.
    pub(crate) first_result: usize,
    /// Committed results, by position.
    pub(crate) results: Vec<Rc<ItemResult>>,
    /// Bytes of memory that `results` take, and most bytes that they may take.
    result_bytes: usize,
    pub(crate) max_result_bytes: usize,
    /// Results that are not committed yet, in the order of their future positions.
    pub(crate) uncommitted: VecDeque<Rc<ItemResult>>,
    /// Whether runs are stopped because the job is about to be handed over.
    pub(crate) stopping: bool,
    /// Whether this node has stopped running the job for good.
    pub(crate) closed: bool,
    /// Notified when results are added or committed, when items may start, and when
    /// the job is stopped or closed.
    pub(crate) changed: Notify,
    /// Time of acceptance on this host's clock, derived from the store's time.
    pub(crate) accepted: Instant,
    /// Number of failed runs at which an item is aborted.
    pub(crate) max_failures: u32,
    /// Whether it was found that the job can no longer meet its due time.
    pub(crate) was_late: bool,
}

impl Job {
    /// Creates a job in which all items wait for their first run.
    pub(crate) fn new(
        id: Name,
        head: JobHead,
        revision: u64,
        submission: Rc<Submission>,
        accepted: Instant,
        max_failures: u32,
    ) -> Self {
        let mut groups = BTreeMap::new();
        let items = submission.items.iter().map(|item| JobItem {
            group: {
                let next = groups.len();
                *groups.entry(item.group.clone()).or_insert(next)
            },
            request: item.clone(),
            phase: Phase::Waiting,
            progress: Progress::default(),
            carried: false,
            failures: 0,
            refusals: refusal::History::default(),
            breaks: Backoff::default(),
            moves: 0,
            not_before: accepted,
            held_since: None,
            scoring: Scoring::default(),
        });
        let items: Vec<JobItem> = items.collect();
        Self {
            next_item: items.len(),
            memory: None,
            first_result: 0,
            result_bytes: 0,
            max_result_bytes: usize::MAX,
            items,
            group_count: groups.len(),
            id,
            head,
            revision,
            submission,
            results: Vec::new(),
            uncommitted: VecDeque::new(),
            stopping: false,
            closed: false,
            changed: Notify::default(),
            accepted,
            max_failures,
            was_late: false,
        }
    }

    /// Sets the text of a waiting item to that of an earlier run, unless part of it
    /// was made with weights that are too old for the job, or it is incomplete and the software
    /// that made it is not known. If `carried`, all items of its
    /// group count as carried, whether or not the text is used.
    pub(crate) fn restore(&mut self, id: &str, progress: Progress, carried: bool) {
        let min_version = self.submission.min_version;
        let Some(item) = self.items.iter_mut().find(|item| *item.request.id == *id) else { return };
        if carried {
            let group = item.request.group.clone();
            let members = self.items.iter_mut().filter(|other| other.request.group == group);
            members.for_each(|other| other.carried = true);
        }
        let is_usable = progress.versions().iter().all(|version| *version >= min_version)
            && (progress.is_complete() || progress.made_by().is_some());
        let item = self.items.iter_mut().find(|item| *item.request.id == *id);
        match item {
            Some(item) if is_usable && item.phase == Phase::Waiting => {
                item.phase = match () {
                    () if progress.is_saved_complete() => Phase::Unscored,
                    () if progress.is_complete() => Phase::Generated,
                    () => Phase::Waiting,
                };
                item.progress = progress;
            }
            _ => {}
        }
    }

    /// Returns the items whose scoring calls may be sent now, with their indexes.
    pub(crate) fn unscored(&self, now: Instant) -> impl Iterator<Item = (usize, &JobItem)> {
        self.due(Phase::Unscored, now)
    }

    /// Returns whether the store lacks a complete text that waits for its scoring call.
    pub(crate) fn has_generated(&self) -> bool {
        !self.closed && self.items.iter().any(|item| item.phase == Phase::Generated)
    }

    /// Returns how many items of a group have no result yet.
    pub(crate) fn unfinished_in_group(&self, group: &str) -> usize {
        let members = self.items.iter().filter(|item| *item.request.group == *group);
        members.filter(|item| item.phase != Phase::Finished).count()
    }

    /// Records that the store holds text of an item. If that text is complete, the scoring
    /// call may be sent.
    pub(crate) fn mark_saved(&mut self, index: usize, saved: Saved) {
        let item = &mut self.items[index];
        item.progress.mark_saved(saved);
        if item.phase == Phase::Generated && item.progress.is_saved_complete() {
            item.phase = Phase::Unscored;
            self.changed.notify_all();
        }
    }

    /// Records that the scoring call of an item is being sent.
    pub(crate) fn start_scoring(&mut self, index: usize) {
        self.items[index].phase = Phase::Scoring;
    }

    /// Records the end of a scoring call: the item gets its result, or waits for the next
    /// call. `max_failures` is the number of failed answers at which it is aborted.
    pub(crate) fn end_scoring(
        &mut self,
        index: usize,
        outcome: scoring::Outcome,
        max_failures: u32,
        now: Instant,
    ) {
        let item = &mut self.items[index];
        if item.phase != Phase::Scoring {
            return;
        }
        match item.scoring.end(outcome, max_failures) {
            scoring::Next::Scored(score) => self.finish(index, ItemOutcome::Completed, Some(score)),
            scoring::Next::Abort => self.finish(index, ItemOutcome::Aborted, None),
            scoring::Next::Retry(pause) => {
                item.phase = Phase::Unscored;
                item.not_before = now + pause;
            }
        }
        self.changed.notify_all();
    }

    /// Returns the items that may start now, with their indexes.
    pub(crate) fn startable(&self, now: Instant) -> impl Iterator<Item = (usize, &JobItem)> {
        self.due(Phase::Waiting, now)
    }

    /// Returns the items in a phase that need not wait longer, with their indexes.
    fn due(&self, phase: Phase, now: Instant) -> impl Iterator<Item = (usize, &JobItem)> {
        let open = !self.closed && !self.stopping;
        let items = self.items.iter().enumerate();
        items.filter(move |(_, item)| open && item.phase == phase && now >= item.not_before)
    }

    /// Returns the earliest time at which a waiting item or its scoring call may start.
    pub(crate) fn next_start(&self) -> Option<Instant> {
        let waits = |item: &&JobItem| matches!(item.phase, Phase::Waiting | Phase::Unscored);
        let waiting = self.items.iter().filter(waits);
        waiting.map(|item| item.not_before).min().filter(|_| !self.closed)
    }

    /// Records the start of a run.
    pub(crate) fn start(&mut self, index: usize, target: Name) {
        self.items[index].phase = Phase::Running(target);
        self.items[index].held_since = None;
    }

    /// Records that an item with text found no target. Discards the text and returns true if no
    /// target can continue it, or if another one could have begun it again for as long as it takes
    /// to make the text.
    pub(crate) fn hold(&mut self, index: usize, room: Room, now: Instant) -> bool {
        let item = &mut self.items[index];
        let events = u32::try_from(item.progress.event_count()).unwrap_or(u32::MAX);
        let discards = match room {
            Room::Never => true,
            Room::Elsewhere => {
                let held_since = *item.held_since.get_or_insert(now);
                now.since(held_since) >= TIME_PER_EVENT.saturating_mul(events)
            }
            Room::Later => {
                item.held_since = None;
                false
            }
        };
        if discards {
            item.progress.restart();
            item.held_since = None;
        }
        discards
    }

    /// Records the end of a run: the item gets its result, or waits for the next run.
    pub(crate) fn end_run(&mut self, index: usize, outcome: RunOutcome, now: Instant) {
        let max_failures = self.max_failures.max(1);
        let item = &mut self.items[index];
        if !matches!(item.phase, Phase::Running(_)) {
            return;
        }
        item.phase = Phase::Waiting;
        let state = match outcome {
            RunOutcome::Completed if item.request.scoring.is_some() => {
                item.progress.mark_complete();
                item.phase = Phase::Generated;
                None
            }
            RunOutcome::Completed => Some(ItemOutcome::Completed),
            RunOutcome::Impossible => Some(ItemOutcome::Aborted),
            RunOutcome::Failed => {
                item.failures += 1;
                (item.failures >= max_failures).then_some(ItemOutcome::Aborted)
            }
            RunOutcome::Refused => {
                item.not_before = now + item.refusals.pause();
                None
            }
            RunOutcome::WrongVersion | RunOutcome::PathLost | RunOutcome::NotSent => {
                item.not_before = now + REFUSED_PAUSE;
                None
            }
            RunOutcome::NoPath => {
                item.not_before = now + NO_PATH_PAUSE;
                None
            }
            RunOutcome::Moved => {
                item.moves += 1;
                item.not_before = now;
                None
            }
            RunOutcome::Stale => {
                item.not_before = now;
                None
            }
            RunOutcome::Broken => {
                item.not_before = now + item.breaks.next(MAX_BACKOFF);
                None
            }
        };
        if let Some(state) = state {
            self.finish(index, state, None);
        }
        self.changed.notify_all();
    }

    /// Records that a target has begun to process an item.
    pub(crate) fn record_accepted(&mut self, index: usize) {
        self.items[index].refusals = refusal::History::default();
    }

    /// Records that a run has produced text, which resets the item's backoff.
    pub(crate) fn record_progress(&mut self, index: usize) {
        self.items[index].breaks = Backoff::default();
    }

    /// Aborts all items that are not finished.
    pub(crate) fn abort_unfinished(&mut self) {
        for index in 0..self.items.len() {
            if self.items[index].phase != Phase::Finished {
                self.finish(index, ItemOutcome::Aborted, None);
            }
        }
        self.changed.notify_all();
    }

    fn finish(&mut self, index: usize, state: ItemOutcome, score: Option<String>) {
        let item = &mut self.items[index];
        item.phase = Phase::Finished;
        let progress = match state {
            ItemOutcome::Completed => std::mem::take(&mut item.progress),
            ItemOutcome::Aborted => Progress::default(),
        };
        self.uncommitted.push_back(Rc::new(ItemResult {
            id: item.request.id.as_ref().into(),
            state,
            text: progress.text(),
            versions: progress.versions(),
            score,
        }));
    }

    /// Appends results that the store holds behind the known committed ones, in place
    /// of this node's own results of the same items.
    pub(crate) fn add_stored_results(&mut self, results: Vec<ItemResult>) {
        for result in results {
            self.uncommitted.retain(|other| other.id != result.id);
            let item = self.items.iter_mut().find(|item| *item.request.id == *result.id);
            if let Some(item) = item {
                item.phase = Phase::Finished;
                item.progress = Progress::default();
            }
            self.list(Rc::new(result));
        }
        self.changed.notify_all();
    }

    /// Adds a committed result, and drops the oldest ones if they take too much memory.
    fn list(&mut self, result: Rc<ItemResult>) {
        self.result_bytes += result.memory();
        self.results.push(result);
        let surplus = part::surplus(self.result_bytes, self.max_result_bytes, &self.results);
        for dropped in self.results.drain(..surplus) {
            self.result_bytes -= dropped.memory();
        }
        self.first_result += surplus;
    }

    /// Returns the number of committed results.
    pub(crate) fn listed(&self) -> usize {
        self.first_result + self.results.len()
    }

    /// Takes over the results that were committed before, from the position `first` on.
    pub(crate) fn continue_listing(&mut self, first: usize, results: Vec<Rc<ItemResult>>) {
        self.first_result = first;
        for result in results {
            self.list(result);
        }
    }

    /// Records the items that have committed results, by the fingerprints of their ids.
    pub(crate) fn mark_listed(&mut self, finished: &BTreeSet<u64>) {
        let is_listed = |item: &&mut JobItem| {
            !finished.is_empty() && finished.contains(&fingerprint(item.request.id.as_bytes()))
        };
        for item in self.items.iter_mut().filter(is_listed) {
            item.phase = Phase::Finished;
            item.progress = Progress::default();
        }
    }

    /// Returns whether this is a part of a job.
    pub(crate) fn is_split(&self) -> bool {
        self.items.len() < self.head.items
    }

    /// Returns whether all items in memory have committed results, while the job has others.
    pub(crate) fn is_part_done(&self) -> bool {
        let has_others = self.next_item < self.head.items;
        let is_idle = self.uncommitted.is_empty() && !self.stopping && !self.closed;
        has_others && is_idle && self.items.iter().all(|item| item.phase == Phase::Finished)
    }

    /// Closes the job and returns what its next part needs.
    pub(crate) fn end_part(&mut self) -> EndedPart {
        self.close();
        EndedPart {
            id: self.id.clone(),
            head: self.head.clone(),
            revision: self.revision,
            outline: Submission { items: Vec::new(), ..Submission::clone(&self.submission) },
            next_item: self.next_item,
            first: self.first_result,
            results: std::mem::take(&mut self.results),
        }
    }

    /// Records that the first `count` uncommitted results are committed.
    pub(crate) fn mark_committed(&mut self, count: usize) {
        let committed: Vec<_> = self.uncommitted.drain(..count).collect();
        for result in committed {
            self.list(result);
        }
        self.changed.notify_all();
    }

    /// Returns whether every item has a committed result.
    pub(crate) fn is_complete(&self) -> bool {
        self.listed() == self.head.items
    }

    /// Stops all runs and starts none, so that the text no longer changes while it
    /// is saved.
    pub(crate) fn stop_runs(&mut self) {
        self.stopping = true;
        self.changed.notify_all();
    }

    /// Stops running the job for good.
    pub(crate) fn close(&mut self) {
        self.closed = true;
        self.changed.notify_all();
    }
}
