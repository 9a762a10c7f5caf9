use std::collections::BTreeMap;

use tamarackdock_rollout::{
    attempt::Attempt,
    slot::Slot,
    step::{Input, Step},
};
use tamarackdock_types::weight::Version;

/// A holder and what the test knows of it.
pub(super) struct Holder {
    pub(super) step: Step,
    pub(super) newest: Version,
    pub(super) paused: Option<Vec<Input>>,
    pub(super) live: BTreeMap<Attempt, Live>,
    /// Tokens that two attempts of a slot generated.
    pub(super) twice: u64,
    pub(super) last_commit: Option<u64>,
}

/// An attempt in progress, as counted from the messages alone.
pub(super) struct Live {
    slot: Slot,
    have: usize,
    pair: Option<(Attempt, usize)>,
}

impl Holder {
    /// Notes a new attempt, and returns whether it is the second one of its slot.
    pub(super) fn begin(&mut self, attempt: Attempt, slot: Slot, have: usize) -> bool {
        let other = self.live.iter_mut().find(|(_, live)| live.slot == slot);
        let pair = other.map(|(other, live)| {
            live.pair = Some((attempt, have));
            (*other, have)
        });
        self.live.insert(attempt, Live { slot, have, pair });
        pair.is_some()
    }

    /// Checks the bound on duplicated tokens.
    pub(super) fn check(&self) {
        let (taken, twice) = (self.step.accepted_tokens(), self.twice);
        assert!(self.step.duplicated_tokens() <= twice, "too many duplicated tokens counted");
        assert!(twice * 20 <= taken, "{twice} of {taken} tokens were generated twice");
    }

    /// Returns the slot of an attempt in progress.
    pub(super) fn slot(&self, attempt: Attempt) -> Option<Slot> {
        Some(self.live.get(&attempt)?.slot.clone())
    }

    pub(super) fn piece(&mut self, attempt: Attempt, position: u32, count: usize) {
        match self.live.get_mut(&attempt) {
            Some(live) if live.have == position as usize => live.have += count,
            _ => {}
        }
    }

    pub(super) fn end(&mut self, attempt: Attempt) {
        let Some(ended) = self.live.remove(&attempt) else {
            return;
        };
        let Some((other, base)) = ended.pair else {
            return;
        };
        if let Some(other) = self.live.get_mut(&other) {
            other.pair = None;
            self.twice += (ended.have - base).min(other.have - base) as u64;
        }
    }
}
