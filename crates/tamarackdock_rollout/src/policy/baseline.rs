use super::{HedgeState, Policy};
use crate::attempt::Attempt;

/// Restarts failed attempts from the prompt and starts no second attempts.
#[derive(Debug, Clone, Copy, Default)]
pub struct Baseline;

impl Policy for Baseline {
    fn resumes(&self) -> bool {
        false
    }

    fn hedge(&self, _: &HedgeState) -> Vec<Attempt> {
        Vec::new()
    }
}
