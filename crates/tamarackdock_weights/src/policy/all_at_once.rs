use tamarackdock_types::TargetName;

use super::{Fleet, Policy};

/// Baseline policy with which all engines that serve an old version load at once.
#[derive(Debug, Clone, Copy, Default)]
pub struct AllAtOnce;

impl Policy for AllAtOnce {
    fn choose(&self, fleet: &Fleet) -> Vec<TargetName> {
        fleet.candidates.iter().map(|candidate| candidate.target.clone()).collect()
    }
}
