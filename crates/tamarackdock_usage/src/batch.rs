use serde::{Deserialize, Serialize};

use crate::Counts;

/// Counts of one node over a short span. Never changed after it got its number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Number within the run of the node, from 1 without gaps.
    pub number: u64,
    /// Counts.
    pub counts: Counts,
}
