//! The platform's list of hosts, which lags behind their actual state.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tamarackdock_types::{DataCentreName, HostName};

use crate::Call;

/// State of a host as the platform knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// In use.
    Live,
    /// About to be stopped.
    Leaving,
}

/// An entry of the host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name, as in the `host` setting of its node.
    pub name: HostName,
    /// Address of the node's peer port.
    pub address: SocketAddr,
    /// Data centre in which the host is.
    pub data_centre: DataCentreName,
    /// Whether the host stays in use.
    pub state: State,
}

/// The host list.
pub trait Hosts {
    /// Reads the list.
    fn list(&self) -> Call<'_, Vec<Host>>;
}
