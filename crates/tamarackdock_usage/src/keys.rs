use derive_more::Display;
use serde::{Deserialize, Serialize};
use tamarackdock_types::HostName;

/// One run of a node, the unit whose batches are numbered, and its row keys.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{host}-{run:016x}")]
pub struct Keys {
    /// Shard that the node's counts go to.
    pub shard: u32,
    /// Host of the node.
    pub host: HostName,
    /// Random value drawn at the start of the process.
    pub run: u64,
}

impl Keys {
    /// Row that holds the number of the last flushed batch.
    #[must_use]
    pub fn cursor(&self) -> String {
        format!("usage/cursor/{}/{self}", self.shard)
    }

    /// Row of the node's counts in a window.
    #[must_use]
    pub fn node(&self, window: u64) -> String {
        format!("{}{self}", node_prefix(window, self.shard))
    }

    /// Row that exists from the window's closing on.
    #[must_use]
    pub fn window(&self, window: u64) -> String {
        window_key(window, self.shard)
    }
}

pub(crate) fn window_key(window: u64, shard: u32) -> String {
    format!("usage/{window}/{shard}")
}

pub(crate) fn node_prefix(window: u64, shard: u32) -> String {
    format!("usage/{window}/{shard}/")
}

pub(crate) fn head_key(shard: u32) -> String {
    format!("usage/head/{shard}")
}
