//! On which target each waiting item of the open batch jobs starts.
//!
//! The load that this answers is a trainer's step: about as many items as the
//! targets of its model have slots, of which few are much longer than the
//! others and decide when the step ends. So the longest items start first, on
//! the targets that are fastest with what they run already, and short ones fill
//! up the rest. Groups that the trainer waits for in any case go before others,
//! and earlier steps before those that are asked ahead of them.

use std::{cmp::Reverse, time::Duration};

use crate::deployment::Name;

/// Part by which each further run on a target slows the runs that it has.
const SLOWDOWN_PER_RUN: f64 = 0.028;
/// Milliseconds for an event on targets whose pace is not known.
const DEFAULT_PACE: f64 = 35.0;
/// Pause until the next try if no target had room.
pub(crate) const RETRY_PAUSE: Duration = Duration::from_millis(25);

/// An item that waits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Waiting {
    /// Index of its job among the open ones, earlier steps first.
    pub(crate) job: usize,
    /// Index of the item in the job.
    pub(crate) item: usize,
    /// Whether the trainer waits for the item's group in any case.
    pub(crate) carried: bool,
    /// Estimated output tokens that are left.
    pub(crate) left: u64,
}

/// A target that can take items of a job.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Engine {
    /// Id.
    pub(crate) id: Name,
    /// Runs of this node.
    pub(crate) running: u32,
    /// Runs at once.
    pub(crate) slots: u32,
    /// Mean milliseconds for an event.
    pub(crate) pace: Option<f64>,
    /// Further requests that it bears now, if it is cold.
    pub(crate) bears: u32,
    /// Whether it broke or refused a request a short time ago.
    pub(crate) avoided: bool,
    /// Whether it is in the data centre of the node.
    pub(crate) near: bool,
    /// Jobs, by index, that its weights fit.
    pub(crate) fits: Vec<usize>,
}

impl Engine {
    fn has_room(&self) -> bool {
        !self.avoided && self.running < self.slots && self.bears > 0
    }

    fn cost(&self) -> f64 {
        let pace = self.pace.unwrap_or(DEFAULT_PACE);
        let near = if self.near { 0.0 } else { 0.01 };
        pace * (1.0 + SLOWDOWN_PER_RUN * f64::from(self.running) + near)
    }
}

/// Returns which waiting item starts on which target, by index.
pub(crate) fn place(mut waiting: Vec<Waiting>, engines: &mut [Engine]) -> Vec<(Waiting, usize)> {
    waiting.sort_by_key(|item| (item.job, !item.carried, Reverse(item.left), item.item));
    let mut placed = Vec::new();
    for item in waiting {
        let fitting = engines
            .iter()
            .enumerate()
            .filter(|(_, engine)| engine.has_room() && engine.fits.contains(&item.job));
        let best = fitting.min_by(|(_, left), (_, right)| left.cost().total_cmp(&right.cost()));
        if let Some((index, _)) = best {
            engines[index].running += 1;
            engines[index].bears -= 1;
            placed.push((item, index));
        }
    }
    placed
}
