use serde::{Deserialize, Serialize};
use tamarackdock_types::{DataCentreName, weight::Version};

/// What an engine last reported of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Report {
    /// Data centre of the engine.
    pub(crate) data_centre: DataCentreName,
    /// Version of the weights that it serves.
    pub(crate) version: Version,
    /// Changes when the engine restarts.
    pub(crate) restart_id: String,
    /// Whether the engine is warm.
    pub(crate) warm: bool,
    /// Calls that run or wait, of all nodes. Lags behind.
    pub(crate) calls: u64,
    /// Calls that it runs at once.
    pub(crate) capacity: u32,
}

impl Report {
    /// Whether only the load differs, which changes all the time.
    pub(crate) fn is_same_state(&self, other: &Self) -> bool {
        let state = |report: &Self| (report.version, report.warm);
        state(self) == state(other) && self.restart_id == other.restart_id
    }
}
