//! Policies for failed attempts and for stragglers, the last running attempts
//! of a step.

mod baseline;
mod hedge_state;
mod hedged;

pub use baseline::Baseline;
pub use hedge_state::{HedgeState, Straggler};
pub use hedged::Hedged;

use crate::attempt::Attempt;

/// Decides whether failed attempts are resumed and which stragglers are hedged.
pub trait Policy {
    /// Returns whether the next attempt continues after the tokens of the failed
    /// one, instead of starting from the prompt.
    fn resumes(&self) -> bool;

    /// Returns the attempts whose slots get a second attempt now.
    fn hedge(&self, state: &HedgeState) -> Vec<Attempt>;
}
