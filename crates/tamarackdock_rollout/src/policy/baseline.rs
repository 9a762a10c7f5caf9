use super::{Policy, Tail};
use crate::attempt::Attempt;

/// Failed attempts start again from the prompt, and there are no second attempts.
#[derive(Debug, Clone, Copy, Default)]
pub struct Baseline;

impl Policy for Baseline {
    fn resumes(&self) -> bool {
        false
    }

    fn hedge(&self, _: &Tail) -> Vec<Attempt> {
        Vec::new()
    }
}
