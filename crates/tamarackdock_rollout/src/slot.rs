//! Slots of a step.

use serde::{Deserialize, Serialize};
use tamarackdock_types::TrainerName;

/// The place of one sample in a step.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Slot {
    /// Trainer that requested the step.
    pub trainer: TrainerName,
    /// Number of the step, unique for the trainer.
    pub step: u64,
    /// Number of the group, which is that of its prompt.
    pub group: u32,
    /// Number of the sample in its group, from 0.
    pub index: u32,
}
