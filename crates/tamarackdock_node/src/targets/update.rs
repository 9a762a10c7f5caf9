use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tamarackdock_types::{DataCentreName, TargetName, fence::Epoch};

use super::Report;

/// Reports of a data centre's engines, which the holder of its lease sends to other nodes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Update {
    pub(crate) data_centre: DataCentreName,
    /// Epoch of the holder and number of the update. Updates that arrive after one with a
    /// higher number are dropped.
    pub(crate) number: (Epoch, u64),
    /// Whether this is a full update: it includes all engines that report, so that reports of
    /// others are dropped.
    pub(crate) is_whole: bool,
    pub(crate) reports: BTreeMap<TargetName, Report>,
}
