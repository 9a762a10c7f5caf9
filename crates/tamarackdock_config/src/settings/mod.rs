//! The settings of one process.

mod log;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tamarackdock_types::{DataCentreName, HostName};

pub use log::{Format, Level, Log};

/// Settings of one node.
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
    /// Logs.
    #[serde(default)]
    pub log: Log,
}
