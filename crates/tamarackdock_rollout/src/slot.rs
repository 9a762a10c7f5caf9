//! Slots of a step.

use serde::{Deserialize, Serialize};
use tamarackdock_types::TrainerName;

/// The place of one sample in a step.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Slot {
    /// Trainer.
    pub trainer: TrainerName,
    /// Step number of the trainer.
    pub step: u64,
    /// Group, which is the number of its prompt.
    pub group: u32,
    /// Number of the sample in its group.
    pub index: u32,
}
