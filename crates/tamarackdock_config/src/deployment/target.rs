use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tamarackdock_types::{DataCentreName, ServiceName, TargetName};

/// The price and availability class of a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// The target runs until it is stopped.
    #[default]
    Ordinary,
    /// The target costs less, and the platform can reclaim it at any time.
    Cheap,
}

/// The kind of work that a target is intended for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Calls of apps.
    #[default]
    App,
    /// Samples of trainers.
    Training,
}

/// A target: one back end of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Unique name.
    pub name: TargetName,
    /// Service whose calls the target runs.
    pub service: ServiceName,
    /// Data centre in which the target runs.
    pub data_centre: DataCentreName,
    /// Address of the target's HTTP port.
    pub address: SocketAddr,
    /// Whether the target can be reclaimed.
    #[serde(default)]
    pub class: Class,
    /// Whether the target is for apps or trainers.
    #[serde(default)]
    pub role: Role,
    /// Whether the target refuses orders with an old epoch.
    #[serde(default)]
    pub checks_epoch: bool,
    /// Number of calls that the target runs at the same time when warm.
    #[serde(default = "default_capacity")]
    pub capacity: u32,
    /// Number of calls that the target can run at the same time during a cold start.
    #[serde(default = "default_cold_capacity")]
    pub cold_capacity: u32,
}

pub(crate) const fn default_capacity() -> u32 {
    16
}

pub(crate) const fn default_cold_capacity() -> u32 {
    1
}
