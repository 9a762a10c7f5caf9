use serde::Serialize;
use tamarackdock_types::weight::Version;

/// What an engine last reported of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct Report {
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
