use serde::{Deserialize, Serialize};
use tamarackdock_types::{AccountName, ServiceName, TrainerName};

/// A trainer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trainer {
    /// Name.
    pub name: TrainerName,
    /// Client account whose keys the trainer shows.
    pub account: AccountName,
    /// Model that makes the samples.
    pub service: ServiceName,
    /// Largest number of versions by which a sample may be older than the
    /// newest weights when it is handed over.
    pub staleness_bound: u64,
}
