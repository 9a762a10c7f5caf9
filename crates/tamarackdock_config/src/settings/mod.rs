//! The settings of one process.

mod log;
mod policy;

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tamarackdock_types::{DataCentreName, HostName};

pub use log::{Format, Level, Log};
pub use policy::{Admission, Loading, Policy, Routing, Spending, Stragglers};

/// The settings of one node.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Host on which the node runs.
    pub host: HostName,
    /// Data centre of the host.
    pub data_centre: DataCentreName,
    /// Address on which callers are served. Port 0 lets the kernel choose a port.
    pub caller_address: SocketAddr,
    /// Address on which operators are served.
    pub operator_address: SocketAddr,
    /// Address on which other nodes are served.
    pub peer_address: SocketAddr,
    /// Address of the platform's interface.
    pub platform_address: SocketAddr,
    /// How long the health check fails before the ports close, in ms, so that the load balancer
    /// notices it.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(default = "balancer_grace")]
    pub balancer_grace_ms: Duration,
    /// Longest time for calls in progress to end after the ports close, in ms.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(default = "drain_timeout")]
    pub drain_timeout_ms: Duration,
    /// Form and level of the logs.
    #[serde(default)]
    pub log: Log,
    /// Policies of the node. The baseline policies are for measurements.
    #[serde(default)]
    pub policy: Policy,
}

const fn balancer_grace() -> Duration {
    Duration::from_secs(5)
}

const fn drain_timeout() -> Duration {
    Duration::from_mins(5)
}
