use std::time::Duration;

use serde::{Deserialize, Serialize};
use tamarackdock_types::clock::Instant;

use crate::version::VersionNumber;

/// A peer's answer to a query: what it knows about the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Sending time of the query, on the clock of the node that sent it.
    pub sent: Instant,
    /// Version that is active on the answering node.
    pub active: VersionNumber,
    /// Time since the active version was last confirmed to be the newest one, by a read of
    /// the answering node or of a node that answered it; `None` if it never was.
    pub confirmed: Option<Duration>,
    /// Whether a commit of the answering node may still take effect without its knowledge.
    pub unsettled: bool,
}
