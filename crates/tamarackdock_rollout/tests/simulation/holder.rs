use std::collections::BTreeMap;

use tamarackdock_rollout::{
    attempt::Attempt,
    slot::Slot,
    step::{Input, Step},
};
use tamarackdock_types::weight::Version;

/// A holder and the state that the simulation tracks for its checks.
pub(super) struct Holder {
    pub(super) step: Step,
    pub(super) newest: Version,
    pub(super) paused: Option<Vec<Input>>,
    pub(super) running: BTreeMap<Attempt, RunningAttempt>,
    /// Tokens that both attempts of a slot generated.
    pub(super) duplicated: u64,
    pub(super) last_commit: Option<u64>,
}

/// A running attempt, tracked from the inputs and actions of the step alone.
pub(super) struct RunningAttempt {
    slot: Slot,
    received: usize,
    sibling: Option<(Attempt, usize)>,
}

impl Holder {
    /// Records a new attempt, and returns whether it is the second one of its slot.
    pub(super) fn start_attempt(&mut self, attempt: Attempt, slot: Slot, received: usize) -> bool {
        let other = self.running.iter_mut().find(|(_, running)| running.slot == slot);
        let sibling = other.map(|(other, running)| {
            running.sibling = Some((attempt, received));
            (*other, received)
        });
        self.running.insert(attempt, RunningAttempt { slot, received, sibling });
        sibling.is_some()
    }

    /// Checks that at most 5% of the tokens were generated twice.
    pub(super) fn check_duplicated(&self) {
        let (accepted, duplicated) = (self.step.accepted_tokens(), self.duplicated);
        assert!(self.step.duplicated_tokens() <= duplicated, "too many duplicated tokens counted");
        assert!(
            duplicated * 20 <= accepted,
            "{duplicated} of {accepted} tokens were generated twice"
        );
    }

    /// Returns the slot of a running attempt.
    pub(super) fn slot(&self, attempt: Attempt) -> Option<Slot> {
        Some(self.running.get(&attempt)?.slot.clone())
    }

    pub(super) fn record_tokens(&mut self, attempt: Attempt, position: u32, count: usize) {
        match self.running.get_mut(&attempt) {
            Some(running) if running.received == position as usize => running.received += count,
            _ => {}
        }
    }

    pub(super) fn end_attempt(&mut self, attempt: Attempt) {
        let Some(ended) = self.running.remove(&attempt) else {
            return;
        };
        let Some((other, base)) = ended.sibling else {
            return;
        };
        if let Some(other) = self.running.get_mut(&other) {
            other.sibling = None;
            self.duplicated += (ended.received - base).min(other.received - base) as u64;
        }
    }
}
