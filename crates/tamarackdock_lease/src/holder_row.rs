use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tamarackdock_types::fence::Epoch;

/// The value of the row `holder/{name}`, which is written in the transaction of each acquisition.
///
/// It is a row of its own, since releases that don't know the address reject unknown fields of the
/// lease row. Such a release leaves a row of an earlier epoch, which does not count.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderRow {
    /// Epoch of the acquisition.
    pub epoch: Epoch,
    /// Address that the holder's process has bound exclusively.
    pub address: SocketAddr,
}

impl HolderRow {
    /// Serializes the row as JSON.
    #[must_use]
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("a row of a number and an address has a JSON form")
    }

    /// Parses the JSON value of a row. Returns `None` for any other text: without the row, a
    /// candidate waits until the lease expires.
    #[must_use]
    pub fn decode(text: &str) -> Option<Self> {
        serde_json::from_str(text).ok()
    }
}
