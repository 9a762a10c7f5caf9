//! Policies that choose which engines load next.

mod all_at_once;
mod fleet;
mod waves;

pub use all_at_once::AllAtOnce;
pub use fleet::{Candidate, Fleet};
use tamarackdock_types::TargetName;
pub use waves::Waves;

/// Chooses the engines that are ordered to load now.
pub trait Policy {
    /// Returns the engines, which must be candidates of the fleet.
    fn choose(&self, fleet: &Fleet) -> Vec<TargetName>;
}
