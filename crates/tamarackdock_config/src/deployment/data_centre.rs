use serde::{Deserialize, Serialize};
use tamarackdock_types::DataCentreName;

/// Whether a data centre gets new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DataCentreState {
    /// The data centre gets new work.
    #[default]
    In,
    /// The data centre gets no new work.
    Out,
}

/// A data centre and the region in which it is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// Unique name, to which settings and targets refer.
    pub name: DataCentreName,
    /// Name of the region. The network between regions can be cut for an hour.
    pub region: String,
    /// Whether the data centre gets new work.
    #[serde(default)]
    pub state: DataCentreState,
}
