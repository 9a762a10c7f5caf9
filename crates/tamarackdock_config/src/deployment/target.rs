use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tamarackdock_types::{DataCentreName, ServiceName, TargetName};

/// What a target costs and promises.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Stays until it is stopped.
    #[default]
    Ordinary,
    /// Costs less and can be reclaimed at any time.
    Cheap,
}

/// The work that a target is meant for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Calls of apps.
    #[default]
    App,
    /// Samples of trainers.
    Training,
}

/// A target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name.
    pub name: TargetName,
    /// Service that it serves.
    pub service: ServiceName,
    /// Data centre.
    pub data_centre: DataCentreName,
    /// Address of its HTTP port.
    pub address: SocketAddr,
    /// Class.
    #[serde(default)]
    pub class: Class,
    /// Role.
    #[serde(default)]
    pub role: Role,
    /// Whether it refuses orders with an old epoch.
    #[serde(default)]
    pub checks_epoch: bool,
    /// Calls that it runs at once when warm.
    #[serde(default = "warm")]
    pub capacity: u32,
    /// Calls that it bears at once during a cold start.
    #[serde(default = "cold")]
    pub cold_capacity: u32,
}

pub(crate) const fn warm() -> u32 {
    16
}

pub(crate) const fn cold() -> u32 {
    1
}
