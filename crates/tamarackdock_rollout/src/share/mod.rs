//! The order in which the waiting items of several steps get targets.
//!
//! The load that this is made for is trainers whose steps need several times the targets that
//! there are, one of them ten times as many as another. In the order of their steps, a small step
//! waits for the whole large one. Here all steps of a rank get the same fraction of what their
//! trainers wait for, and one that is too late anyway does not make others late as well.

/// Share of the runs of a rank that steps keep which can no longer meet their due times, while
/// others wait that can.
const LATE_SHARE: f64 = 0.2;

/// A step is late if it is expected to take this many times as long as is left. The estimates of
/// works are uncertain, and a step that is wrongly held to be late becomes so.
const LATE_FACTOR: f64 = 1.25;

/// A step of a trainer. Works are in any unit that is the same for all steps.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Step {
    /// Number of its trainer, whose steps are served one after the other.
    pub trainer: usize,
    /// Rank of its work, 0 is the highest.
    pub rank: u32,
    /// Work of the part of its groups that the trainer waits for.
    pub needed: f64,
    /// Work that has been done, or is part of a run in progress.
    pub received: f64,
    /// Number of its runs in progress.
    pub running: u32,
    /// Whether it can no longer meet its due time.
    pub is_late: bool,
}

/// An item that waits for a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Item {
    /// Index of its step.
    pub step: usize,
    /// Whether the trainer waits for its group in any case.
    pub carried: bool,
    /// Estimated remaining work.
    pub work: f64,
}

impl Step {
    fn fraction(&self) -> f64 {
        if self.needed > 0.0 { self.received / self.needed } else { 1.0 }
    }

    fn is_served(&self) -> bool {
        self.received >= self.needed
    }
}

/// Returns whether a step can no longer meet its due time, even if all targets that fit it serve
/// it alone. `work` remains of the part that its trainer waits for, `rate` is the work that the
/// targets do in a millisecond, and `best_end_ms` is the end of its longest item if it starts now.
/// While no target fits it, that is not known.
#[must_use]
pub fn is_late(work: f64, rate: f64, best_end_ms: f64, due_ms: f64) -> bool {
    let until_ms = LATE_FACTOR * due_ms;
    rate > 0.0 && (best_end_ms > until_ms || work > rate * until_ms)
}

/// Returns the indexes of the items in the order in which they get targets. Earlier steps of a
/// trainer come before later ones in `steps`.
///
/// Work of a higher rank comes first. Of one rank, the step with the smallest fraction of what it
/// needs is next; steps that can no longer meet their due times come after the others, but keep a
/// fifth of the runs. Of one step, groups that the trainer waits for in any case come first, then
/// the longest items.
#[must_use]
pub fn order(steps: &[Step], items: &[Item]) -> Vec<usize> {
    let mut steps = steps.to_vec();
    let mut queues: Vec<Vec<usize>> = vec![Vec::new(); steps.len()];
    for (index, item) in items.iter().enumerate() {
        queues[item.step].push(index);
    }
    for queue in &mut queues {
        // The next item is the last one of its queue.
        queue.sort_by(|left, right| {
            let (left_item, right_item) = (&items[*left], &items[*right]);
            let by_group = left_item.carried.cmp(&right_item.carried);
            by_group.then(left_item.work.total_cmp(&right_item.work)).then(right.cmp(left))
        });
    }
    let mut ordered = Vec::with_capacity(items.len());
    while let Some(step) = next_step(&steps, &queues) {
        let Some(item) = queues[step].pop() else { break };
        steps[step].received += items[item].work;
        steps[step].running += 1;
        ordered.push(item);
    }
    ordered
}

/// Returns the step whose item is next, or `None` if no items are left.
fn next_step(steps: &[Step], queues: &[Vec<usize>]) -> Option<usize> {
    let candidates = (0..steps.len()).filter(|step| is_next_of_trainer(steps, queues, *step));
    let rank = candidates.clone().map(|step| steps[step].rank).min()?;
    let late_is_next = late_is_next(steps, rank);
    candidates.filter(|step| steps[*step].rank == rank).min_by(|left, right| {
        let comes_later = |step: usize| steps[step].is_late != late_is_next;
        let by_due = comes_later(*left).cmp(&comes_later(*right));
        let by_fraction = steps[*left].fraction().total_cmp(&steps[*right].fraction());
        by_due.then(by_fraction).then(left.cmp(right))
    })
}

/// Returns whether a step has waiting items and none of its trainer's others comes before it. One
/// for which the trainer no longer waits comes after its later ones.
fn is_next_of_trainer(steps: &[Step], queues: &[Vec<usize>], step: usize) -> bool {
    let key = |step: usize| (steps[step].is_served(), step);
    let comes_before = |other: usize| {
        !queues[other].is_empty()
            && steps[other].trainer == steps[step].trainer
            && key(other) < key(step)
    };
    !queues[step].is_empty() && !(0..steps.len()).any(comes_before)
}

/// Returns whether the late steps of a rank have fewer runs than they keep.
fn late_is_next(steps: &[Step], rank: u32) -> bool {
    let same = steps.iter().filter(|step| step.rank == rank);
    let running: u32 = same.clone().map(|step| step.running).sum();
    let late: u32 = same.filter(|step| step.is_late).map(|step| step.running).sum();
    running > 0 && (late == 0 || f64::from(late + 1) <= LATE_SHARE * f64::from(running + 1))
}

#[cfg(test)]
mod tests;
