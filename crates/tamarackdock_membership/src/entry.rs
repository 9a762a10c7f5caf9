use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tamarackdock_types::{DataCentreName, HostName};

use crate::{Health, Status};

/// The name, address and data centre of a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Host on which the node runs.
    pub host: HostName,
    /// Address of the node's peer port.
    pub address: SocketAddr,
    /// Data centre of the host.
    pub data_centre: DataCentreName,
}

/// A member's address, data centre and status.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Address of the node's peer port.
    pub address: SocketAddr,
    /// Data centre of the host.
    pub data_centre: DataCentreName,
    /// Status, which includes the host's name.
    #[serde(flatten)]
    pub status: Status,
}

impl Entry {
    /// Creates the entry of a member of which nothing has been received yet.
    #[must_use]
    pub fn new(peer: Peer, leaving: bool) -> Self {
        let Peer { host, address, data_centre } = peer;
        let status = Status { host, incarnation: 0, health: Health::Alive, leaving };
        Self { address, data_centre, status }
    }

    /// Returns the member's name, address and data centre.
    #[must_use]
    pub fn peer(&self) -> Peer {
        let host = self.status.host.clone();
        Peer { host, address: self.address, data_centre: self.data_centre.clone() }
    }
}
