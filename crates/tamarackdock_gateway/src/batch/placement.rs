//! Decides on which target each waiting item of the running batch jobs starts.
//!
//! The load that this is made for is a trainer's step: about as many items as the targets
//! of its model have slots, of which a few are much longer than the others and determine
//! when the step ends. So the longest items start first, on the targets that are fastest
//! given what they already run, and short ones fill the remaining slots. Groups that the
//! trainer waits for in any case go before others, and earlier steps before those that
//! are requested in advance.
//!
//! Some items may fit no target. A target that refuses requests is probed by the items that were
//! refused least, so that none of the others has to wait for one that is always refused. Items that
//! targets refuse while they accept others go last. See [`tamarackdock_route::refusal`]. Before them
//! come items of jobs that have far more items than the targets have slots, see [`part`](super::part).

use std::{cmp::Reverse, time::Duration};

use crate::{deployment::Name, target::Software};

/// Fraction by which each further run on a target slows down its runs.
const SLOWDOWN_PER_RUN: f64 = 0.028;
/// Milliseconds per event that are assumed for targets without a measured value.
const DEFAULT_EVENT_INTERVAL_MS: f64 = 35.0;
/// Pause until the next placement while items wait.
pub(crate) const RETRY_PAUSE: Duration = Duration::from_millis(25);

/// An item that waits for a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct WaitingItem {
    /// Index of its job among the running ones, earlier steps first.
    pub(crate) job: usize,
    /// Index of the item in the job.
    pub(crate) item: usize,
    /// Whether the trainer waits for the item's group in any case.
    pub(crate) carried: bool,
    /// Estimated number of remaining output tokens.
    pub(crate) remaining_tokens: u64,
    /// Software that alone can continue the item's text, if it has one.
    pub(crate) made_by: Option<Software>,
    /// Number of refusals since a target last accepted the item.
    pub(crate) refusals: u32,
    /// Whether targets refuse the item while they accept others.
    pub(crate) is_unfit: bool,
    /// Whether its job is too large to be a step of a trainer.
    pub(crate) is_bulk: bool,
}

impl WaitingItem {
    /// Returns the key of what goes last: items that fit no target, and before these the ones of
    /// jobs that are too large to be steps of trainers. Steps would wait for these for very long.
    pub(crate) fn goes_last(&self) -> (bool, bool) {
        (self.is_unfit, self.is_bulk)
    }

    /// Returns the key by which items are sorted: what goes last, then earlier steps first, then
    /// groups that the trainer waits for in any case, then the longest.
    pub(crate) fn order(&self) -> ((bool, bool), usize, bool, Reverse<u64>, usize) {
        (self.goes_last(), self.job, !self.carried, Reverse(self.remaining_tokens), self.item)
    }
}

/// What placement needs to know of a target.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct PlacementTarget {
    pub(crate) id: Name,
    pub(crate) software: Software,
    /// Number of requests in progress, of this node and as reported by others.
    pub(crate) running: u32,
    /// Number of requests that the target processes at once.
    pub(crate) slots: u32,
    /// Mean milliseconds per event, if any were seen.
    pub(crate) event_interval_ms: Option<f64>,
    /// Number of events from which that was measured.
    pub(crate) samples: u32,
    /// Number of requests that may start on it now, bounded for targets that are or may
    /// become cold.
    pub(crate) allowed_starts: u32,
    /// Whether it failed or refused a request a short time ago.
    pub(crate) is_avoided: bool,
    /// Whether it has refused a request and accepted none since.
    pub(crate) refuses: bool,
    /// Whether it is in the data centre of the node.
    pub(crate) is_local: bool,
    /// Indexes of the jobs that it can serve.
    pub(crate) fitting_jobs: Vec<usize>,
}

impl PlacementTarget {
    fn has_room(&self) -> bool {
        !self.is_avoided && self.running < self.slots && self.allowed_starts > 0
    }

    /// Returns whether a run of an item could begin here now, without the item's text.
    pub(crate) fn could_begin(&self, item: &WaitingItem) -> bool {
        self.has_room() && self.fitting_jobs.contains(&item.job)
    }

    /// Returns whether an item can run here once there is room.
    pub(crate) fn fits(&self, item: &WaitingItem) -> bool {
        self.fitting_jobs.contains(&item.job)
            && item.made_by.as_ref().is_none_or(|made_by| *made_by == self.software)
    }

    /// Returns the number of slots in which requests could start.
    pub(crate) fn free_slots(&self) -> u32 {
        if self.is_avoided { 0 } else { self.slots.saturating_sub(self.running) }
    }

    /// Records that an item starts here.
    pub(crate) fn add_run(&mut self) {
        self.running += 1;
        self.allowed_starts -= 1;
    }

    /// Returns for how many of the items there are slots, however many may start now.
    pub(crate) fn room_for(&self, items: &[WaitingItem]) -> u32 {
        let fitting = items.iter().filter(|item| self.fits(item)).count();
        self.free_slots().min(u32::try_from(fitting).unwrap_or(u32::MAX))
    }

    /// Returns the estimated milliseconds per event under the present load, slightly
    /// raised for targets in other data centres.
    fn cost(&self) -> f64 {
        let event_interval_ms = self.event_interval_ms.unwrap_or(DEFAULT_EVENT_INTERVAL_MS);
        let distance = if self.is_local { 0.0 } else { 0.01 };
        event_interval_ms * (1.0 + SLOWDOWN_PER_RUN * f64::from(self.running) + distance)
    }
}

/// Which of the waiting items start now.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Assignment {
    /// The items that start, each with the index of its target.
    pub(crate) placed: Vec<(WaitingItem, usize)>,
    /// The items that go on waiting.
    pub(crate) unplaced: Vec<WaitingItem>,
}

/// Returns the items that start now. Updates the targets accordingly.
pub(crate) fn assign_items(
    mut waiting: Vec<WaitingItem>,
    targets: &mut [PlacementTarget],
) -> Assignment {
    waiting.sort_by_key(WaitingItem::order);
    with_probes(waiting, targets, assign_usable)
}

/// Which of the targets items are assigned to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Usable {
    /// Those that have accepted a request since they last refused one.
    Accepting,
    /// Those that have not.
    Refusing,
}

impl Usable {
    pub(crate) fn contains(self, target: &PlacementTarget) -> bool {
        target.refuses == (self == Self::Refusing)
    }
}

/// Assigns items, in order, to the targets that accept requests, and then the remaining ones to
/// those that refused the last request. The latter are probed by the items that were refused least,
/// which are those of which it is least likely that they fit no target.
pub(crate) fn with_probes(
    waiting: Vec<WaitingItem>,
    targets: &mut [PlacementTarget],
    mut assign: impl FnMut(Vec<WaitingItem>, &mut [PlacementTarget], Usable) -> Assignment,
) -> Assignment {
    let mut assignment = assign(waiting, targets, Usable::Accepting);
    assignment.unplaced.sort_by_key(|item| item.refusals);
    let probes = assign(assignment.unplaced, targets, Usable::Refusing);
    assignment.placed.extend(probes.placed);
    Assignment { placed: assignment.placed, unplaced: probes.unplaced }
}

fn assign_usable(
    waiting: Vec<WaitingItem>,
    targets: &mut [PlacementTarget],
    usable: Usable,
) -> Assignment {
    let mut assignment = Assignment::default();
    for item in waiting {
        let fitting = targets.iter().enumerate().filter(|(_, target)| {
            usable.contains(target) && target.has_room() && target.fits(&item)
        });
        let best = fitting.min_by(|(_, left), (_, right)| left.cost().total_cmp(&right.cost()));
        match best.map(|(index, _)| index) {
            Some(index) => {
                targets[index].add_run();
                assignment.placed.push((item, index));
            }
            None => assignment.unplaced.push(item),
        }
    }
    assignment
}
