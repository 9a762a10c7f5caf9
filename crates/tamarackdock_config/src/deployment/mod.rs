//! The configuration that operators submit and all nodes share.

mod account;
mod data_centre;
mod limits;
mod service;
mod target;
mod trainer;

use serde::{Deserialize, Serialize};

pub use account::Account;
pub use data_centre::{DataCentre, Service as DataCentreState};
pub use limits::Limits;
pub use service::{Access, Kind, Service};
pub use target::{Class, Role, Target};
pub(crate) use target::{cold, warm};
pub use trainer::Trainer;

/// The whole configuration of a deployment.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Services that callers may use.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Client accounts.
    #[serde(default)]
    pub accounts: Vec<Account>,
    /// Trainers.
    #[serde(default)]
    pub trainers: Vec<Trainer>,
    /// Data centres.
    #[serde(default)]
    pub data_centres: Vec<DataCentre>,
    /// Targets.
    #[serde(default)]
    pub targets: Vec<Target>,
    /// Bounds for all.
    #[serde(default)]
    pub limits: Limits,
}
