use super::{Policy, Tail};
use crate::attempt::Attempt;

/// Highest share of a step's tokens that may be generated twice, in percent.
const MAX_DUPLICATED_PERCENT: u64 = 5;

/// Resumes failed attempts, and gives the longest running attempts a second
/// one when capacity is idle and no slot waits.
#[derive(Debug, Clone, Copy, Default)]
pub struct Hedged;

impl Policy for Hedged {
    fn resumes(&self) -> bool {
        true
    }

    fn hedge(&self, tail: &Tail) -> Vec<Attempt> {
        if tail.open > 0 {
            return Vec::new();
        }
        let allowed = tail.taken * MAX_DUPLICATED_PERCENT / 100;
        let mut left = allowed.saturating_sub(tail.duplicated);
        let mut stragglers = tail.stragglers.clone();
        stragglers.sort_by_key(|straggler| (straggler.started, straggler.attempt));
        let mut chosen = Vec::new();
        for straggler in stragglers {
            if chosen.len() == tail.idle || straggler.remaining >= left {
                break;
            }
            left -= straggler.remaining;
            chosen.push(straggler.attempt);
        }
        chosen
    }
}
