use serde::{Deserialize, Serialize};
use tamarackdock_types::{HostName, clock::Instant};

/// Asks a peer when it last reached the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Receiver.
    pub to: HostName,
    /// Time of sending on the sender's clock, which the answer returns.
    pub sent: Instant,
}
