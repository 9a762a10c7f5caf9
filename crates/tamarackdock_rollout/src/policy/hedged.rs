use super::{HedgeState, Policy};
use crate::attempt::Attempt;

/// Highest share of a step's tokens that may be generated twice, in percent.
const MAX_DUPLICATED_PERCENT: u64 = 5;

/// Resumes failed attempts, and starts second attempts beside those that have
/// run longest when capacity is idle and no slot is open.
#[derive(Debug, Clone, Copy, Default)]
pub struct Hedged;

impl Policy for Hedged {
    fn resumes(&self) -> bool {
        true
    }

    fn hedge(&self, state: &HedgeState) -> Vec<Attempt> {
        if state.open_slots > 0 {
            return Vec::new();
        }
        let allowed = state.accepted_tokens * MAX_DUPLICATED_PERCENT / 100;
        let mut budget = allowed.saturating_sub(state.duplicated_tokens);
        let mut stragglers = state.stragglers.clone();
        stragglers.sort_by_key(|straggler| (straggler.started, straggler.attempt));
        let mut chosen = Vec::new();
        for straggler in stragglers {
            if chosen.len() == state.idle_capacity || straggler.remaining >= budget {
                break;
            }
            budget -= straggler.remaining;
            chosen.push(straggler.attempt);
        }
        chosen
    }
}
