//! The state of a batch job at the node that runs it. A pure state machine:
//! tasks tell it what happened, and it says what may start and what is to be
//! committed.

use std::{collections::VecDeque, rc::Rc, time::Duration};

use tamarackdock_types::clock::Instant;

use super::{Item, Listed, State, Submission, progress::Progress, rows::Head};
use crate::{deployment::Name, signal::Signal};

/// First pause after a run that broke without any event. It doubles each time,
/// since an item may be what breaks its targets.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// Longest such pause.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Pause after a refusal by a target.
const REFUSED_PAUSE: Duration = Duration::from_millis(30);
/// Output tokens in an event until the job has seen how long its texts are.
const TOKENS_PER_EVENT: u64 = 50;

/// What happens to an item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Waits for a target.
    Waiting,
    /// Runs on a target.
    Running(Name),
    /// Has a result, which is committed or about to be.
    Finished,
}

/// An item with its state.
#[derive(Debug, Clone)]
pub(crate) struct Work {
    pub(crate) item: Item,
    pub(crate) phase: Phase,
    pub(crate) progress: Progress,
    /// Whether the item's group began in an earlier job, so that the trainer
    /// waits for it whatever else is done.
    pub(crate) carried: bool,
    /// Runs that the target itself failed.
    failed: u32,
    /// Runs in a row that broke without an event.
    broken: u32,
    /// Runs that were moved to another target.
    pub(crate) moves: u32,
    /// Time before which the item is not started.
    pub(crate) not_before: Instant,
}

impl Work {
    /// Returns the estimated number of events that are left.
    pub(crate) fn left_events(&self) -> u64 {
        self.left() / TOKENS_PER_EVENT
    }

    /// Returns the estimated output tokens that are left.
    pub(crate) fn left(&self) -> u64 {
        let made = self.progress.events() as u64 * TOKENS_PER_EVENT;
        // An item that passed its estimate is one of the long ones.
        self.item.expected().checked_sub(made).unwrap_or(made / 2).max(1)
    }
}

/// How a run of an item ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ended {
    /// The output is whole.
    Whole,
    /// The target did not run it.
    Refused,
    /// The target failed it after running it.
    Failed,
    /// The target says that the item can never be done.
    Impossible,
    /// The connection broke or went silent.
    Broken,
    /// The target's weights do not fit the job.
    WrongVersion,
    /// The target is slow and others are not.
    Moved,
}

/// A batch job that this node runs.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) id: Name,
    pub(crate) head: Head,
    /// Revision of the head's row.
    pub(crate) revision: u64,
    pub(crate) submission: Rc<Submission>,
    pub(crate) works: Vec<Work>,
    /// Committed results.
    pub(crate) listed: Vec<Rc<Listed>>,
    /// Results that are not committed yet.
    pub(crate) unlisted: VecDeque<Rc<Listed>>,
    /// Whether no runs are to start, since the job is about to be handed over.
    pub(crate) stopping: bool,
    /// Whether this node has stopped running the job.
    pub(crate) closed: bool,
    /// Raised when results are listed, when items can start, and at the end.
    pub(crate) changed: Signal,
    /// When the job was accepted.
    pub(crate) accepted: Instant,
    /// Most runs that targets may fail before an item is given up.
    pub(crate) attempts: u32,
}

impl Job {
    /// Makes a job of which nothing has run.
    pub(crate) fn new(
        id: Name,
        head: Head,
        revision: u64,
        submission: Rc<Submission>,
        accepted: Instant,
        attempts: u32,
    ) -> Self {
        let works = submission.items.iter().map(|item| Work {
            item: item.clone(),
            phase: Phase::Waiting,
            progress: Progress::default(),
            carried: false,
            failed: 0,
            broken: 0,
            moves: 0,
            not_before: accepted,
        });
        Self {
            works: works.collect(),
            id,
            head,
            revision,
            submission,
            listed: Vec::new(),
            unlisted: VecDeque::new(),
            stopping: false,
            closed: false,
            changed: Signal::default(),
            accepted,
            attempts,
        }
    }

    /// Gives an item text that an earlier run made, if its versions fit.
    pub(crate) fn restore(&mut self, item: &str, progress: Progress, carried: bool) {
        let least = self.submission.min_version;
        let Some(work) = self.works.iter_mut().find(|work| *work.item.id == *item) else { return };
        if carried {
            let group = work.item.group.clone();
            let members = self.works.iter_mut().filter(|other| other.item.group == group);
            members.for_each(|other| other.carried = true);
        }
        let fits = progress.versions().iter().all(|version| *version >= least);
        let work = self.works.iter_mut().find(|work| *work.item.id == *item);
        match work {
            Some(work) if fits && work.phase == Phase::Waiting => work.progress = progress,
            _ => {}
        }
    }

    /// Returns the items that may start now.
    pub(crate) fn startable(&self, now: Instant) -> impl Iterator<Item = (usize, &Work)> {
        let open = !self.closed && !self.stopping;
        let works = self.works.iter().enumerate();
        works
            .filter(move |(_, work)| open && work.phase == Phase::Waiting && now >= work.not_before)
    }

    /// Returns the earliest time at which an item that waits may start.
    pub(crate) fn next_start(&self) -> Option<Instant> {
        let waiting = self.works.iter().filter(|work| work.phase == Phase::Waiting);
        waiting.map(|work| work.not_before).min().filter(|_| !self.closed)
    }

    /// Records the start of a run.
    pub(crate) fn start(&mut self, index: usize, target: Name) {
        self.works[index].phase = Phase::Running(target);
    }

    /// Records the end of a run.
    pub(crate) fn end_run(&mut self, index: usize, ended: Ended, now: Instant) {
        let attempts = self.attempts.max(1);
        let work = &mut self.works[index];
        if work.phase == Phase::Finished {
            return;
        }
        work.phase = Phase::Waiting;
        let state = match ended {
            Ended::Whole => Some(State::Completed),
            Ended::Impossible => Some(State::Aborted),
            Ended::Failed => {
                work.failed += 1;
                (work.failed >= attempts).then_some(State::Aborted)
            }
            Ended::Refused | Ended::WrongVersion => {
                work.not_before = now + REFUSED_PAUSE;
                None
            }
            Ended::Moved => {
                work.moves += 1;
                work.not_before = now;
                None
            }
            Ended::Broken => {
                let doubled = FIRST_BACKOFF * 2_u32.saturating_pow(work.broken.min(10));
                work.not_before = now + doubled.min(MAX_BACKOFF);
                work.broken += 1;
                None
            }
        };
        if let Some(state) = state {
            self.finish(index, state);
        }
        self.changed.raise();
    }

    /// Records that a run has produced text.
    pub(crate) fn advanced(&mut self, index: usize) {
        self.works[index].broken = 0;
    }

    /// Gives up all items that are not finished.
    pub(crate) fn abort_rest(&mut self) {
        for index in 0..self.works.len() {
            if self.works[index].phase != Phase::Finished {
                self.finish(index, State::Aborted);
            }
        }
        self.changed.raise();
    }

    fn finish(&mut self, index: usize, state: State) {
        let work = &mut self.works[index];
        work.phase = Phase::Finished;
        let progress = match state {
            State::Completed => std::mem::take(&mut work.progress),
            State::Aborted => Progress::default(),
        };
        self.unlisted.push_back(Rc::new(Listed {
            id: work.item.id.as_ref().into(),
            state,
            text: progress.text(),
            versions: progress.versions(),
        }));
    }

    /// Takes in results that the store holds from the end of the listed ones on.
    pub(crate) fn adopt(&mut self, results: Vec<Listed>) {
        for result in results {
            self.unlisted.retain(|other| other.id != result.id);
            let work = self.works.iter_mut().find(|work| *work.item.id == *result.id);
            if let Some(work) = work {
                work.phase = Phase::Finished;
                work.progress = Progress::default();
            }
            self.listed.push(Rc::new(result));
        }
        self.changed.raise();
    }

    /// Records that the first results of those not listed are committed.
    pub(crate) fn committed(&mut self, count: usize) {
        self.listed.extend(self.unlisted.drain(..count));
        self.changed.raise();
    }

    /// Returns whether every item has a committed result.
    pub(crate) fn is_complete(&self) -> bool {
        self.listed.len() == self.works.len()
    }

    /// Ends all runs and starts none, so that the text stays as it is.
    pub(crate) fn stop_runs(&mut self) {
        self.stopping = true;
        self.changed.raise();
    }

    /// Stops running the job.
    pub(crate) fn close(&mut self) {
        self.closed = true;
        self.changed.raise();
    }
}
