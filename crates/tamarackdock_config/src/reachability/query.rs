use serde::{Deserialize, Serialize};
use tamarackdock_types::{HostName, clock::Instant};

/// A query that asks a peer when it last reached the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// Host of the peer.
    pub to: HostName,
    /// Sending time on the sender's clock, which the answer repeats.
    pub sent: Instant,
}
