use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tamarackdock_types::{DataCentreName, TargetName, fence::Epoch};

use super::Report;

/// Reports of a data centre's engines, as its holder sends them to other nodes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Update {
    pub(crate) data_centre: DataCentreName,
    /// Epoch of the holder and number of the update, by which late ones are dropped.
    pub(crate) number: (Epoch, u64),
    /// Whether engines without a report are gone.
    pub(crate) is_whole: bool,
    pub(crate) reports: BTreeMap<TargetName, Report>,
}
