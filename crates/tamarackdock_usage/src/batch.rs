use serde::{Deserialize, Serialize};

use crate::Counts;

/// Usage that one node counted over a short span. It does not change once it has a number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Number within the run of the node, starting at 1 and without gaps.
    pub number: u64,
    /// Usage by window and client account.
    pub counts: Counts,
}
