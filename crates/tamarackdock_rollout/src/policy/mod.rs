//! Policies for stragglers: failed attempts and the tail of a step.

mod baseline;
mod hedged;
mod tail;

pub use baseline::Baseline;
pub use hedged::Hedged;
pub use tail::{Straggler, Tail};

use crate::attempt::Attempt;

/// Decides what happens to stragglers.
pub trait Policy {
    /// Returns whether a failed attempt is resumed from its tokens so far,
    /// instead of from the prompt.
    fn resumes(&self) -> bool;

    /// Returns the attempts that get a second attempt now.
    fn hedge(&self, tail: &Tail) -> Vec<Attempt>;
}
