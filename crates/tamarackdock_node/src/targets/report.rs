use serde::{Deserialize, Serialize};
use tamarackdock_types::{DataCentreName, weight::Version};

/// The state that an engine last reported.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Report {
    /// Data centre of the engine.
    pub(crate) data_centre: DataCentreName,
    /// Weight version that the engine serves.
    pub(crate) version: Version,
    /// Identifies the run of the engine: changes when it restarts.
    pub(crate) restart_id: String,
    /// Whether the engine is warm.
    pub(crate) warm: bool,
    /// Calls of all nodes that run or wait on the engine. Lags behind the actual number.
    pub(crate) calls: u64,
    /// Largest number of calls that the engine runs at the same time.
    pub(crate) capacity: u32,
}

impl Report {
    /// Returns whether both reports show the same weight version, warmth and run of the
    /// engine. The load isn't compared, since it changes all the time.
    pub(crate) fn has_same_state(&self, other: &Self) -> bool {
        let state = |report: &Self| (report.version, report.warm);
        state(self) == state(other) && self.restart_id == other.restart_id
    }
}
