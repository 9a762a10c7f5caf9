use serde::{Deserialize, Serialize};
use tamarackdock_types::{AccountName, ServiceName, TrainerName};

/// A trainer and the model that generates its samples.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trainer {
    /// Unique name.
    pub name: TrainerName,
    /// Client account whose keys the trainer uses.
    pub account: AccountName,
    /// Service of the model that generates the samples.
    pub service: ServiceName,
    /// Largest number of weight versions by which a sample may be older than the
    /// newest weights when it is delivered.
    pub staleness_bound: u64,
}
