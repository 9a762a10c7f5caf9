//! The settings of one process.

mod log;
mod policy;

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tamarackdock_types::{DataCentreName, HostName};

pub use log::{Format, Level, Log};
pub use policy::{Admission, Loading, Policy, Routing, Spending, Stragglers};

/// Settings of one node.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the host.
    pub host: HostName,
    /// Data centre of the host.
    pub data_centre: DataCentreName,
    /// Address for callers; port 0 lets the kernel choose.
    pub caller_address: SocketAddr,
    /// Address for operators.
    pub operator_address: SocketAddr,
    /// Address for other nodes.
    pub peer_address: SocketAddr,
    /// Address of the platform's interface.
    pub platform_address: SocketAddr,
    /// How long the health check fails before the ports close, in ms, so that the balancer sees it.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(default = "balancer_grace")]
    pub balancer_grace_ms: Duration,
    /// How long calls in progress may take after the ports close, in ms.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(default = "drain_timeout")]
    pub drain_timeout_ms: Duration,
    /// Logs.
    #[serde(default)]
    pub log: Log,
    /// Policies; the plain ones are for measurements.
    #[serde(default)]
    pub policy: Policy,
}

const fn balancer_grace() -> Duration {
    Duration::from_secs(5)
}

const fn drain_timeout() -> Duration {
    Duration::from_mins(5)
}
