use serde::{Deserialize, Serialize};
use tamarackdock_types::DataCentreName;

/// Whether a data centre gets new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Service {
    /// The data centre gets work.
    #[default]
    In,
    /// The data centre gets no new work.
    Out,
}

/// A data centre.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// Name.
    pub name: DataCentreName,
    /// Region; the network between regions can be cut for an hour.
    pub region: String,
    /// Whether it gets new work.
    #[serde(default)]
    pub state: Service,
}
