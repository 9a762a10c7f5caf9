use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tamarackdock_types::{DataCentreName, HostName};

use crate::{Health, Status};

/// Where a node is reached.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Name of the host.
    pub host: HostName,
    /// Address of its peer port.
    pub address: SocketAddr,
    /// Data centre of the host.
    pub data_centre: DataCentreName,
}

/// A member with its status.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Address of its peer port.
    pub address: SocketAddr,
    /// Data centre of the host.
    pub data_centre: DataCentreName,
    /// Status, with the name.
    #[serde(flatten)]
    pub status: Status,
}

impl Entry {
    /// Makes the entry of a member that has not been heard of yet.
    #[must_use]
    pub fn new(peer: Peer, leaving: bool) -> Self {
        let Peer { host, address, data_centre } = peer;
        let status = Status { host, incarnation: 0, health: Health::Alive, leaving };
        Self { address, data_centre, status }
    }

    /// Returns where the member is reached.
    #[must_use]
    pub fn peer(&self) -> Peer {
        let host = self.status.host.clone();
        Peer { host, address: self.address, data_centre: self.data_centre.clone() }
    }
}
