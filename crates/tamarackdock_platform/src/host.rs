//! The platform's lagging list of hosts.

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

/// A host as listed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name.
    pub name: HostName,
    /// Address of the node's peer port.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: DataCentreName,
    /// State.
    pub state: State,
}

/// The host list.
pub trait Hosts {
    /// Reads the list.
    fn list(&self) -> Call<'_, Vec<Host>>;
}
