//! The configuration that operators submit and that all nodes share.

mod account;
mod data_centre;
mod limits;
mod service;
mod target;
mod trainer;

use serde::{Deserialize, Serialize};

pub use account::Account;
pub use data_centre::{DataCentre, DataCentreState};
pub use limits::Limits;
pub use service::{Access, Kind, Service};
pub use target::{Class, Role, Target};
pub(crate) use target::{default_capacity, default_cold_capacity};
pub use trainer::Trainer;

/// The whole configuration of a deployment.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Services that callers may use.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Client accounts with their keys.
    #[serde(default)]
    pub accounts: Vec<Account>,
    /// Trainers with their client accounts and models.
    #[serde(default)]
    pub trainers: Vec<Trainer>,
    /// Data centres with their regions and states.
    #[serde(default)]
    pub data_centres: Vec<DataCentre>,
    /// Targets that run the calls.
    #[serde(default)]
    pub targets: Vec<Target>,
    /// Limits that apply on all nodes.
    #[serde(default)]
    pub limits: Limits,
}
