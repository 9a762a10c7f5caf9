use derive_more::Display;
use serde::{Deserialize, Serialize};
use tamarackdock_types::HostName;

/// Identifies one run of a node and names its rows. Batches are numbered per run.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{host}-{run:016x}")]
pub struct NodeRun {
    /// Shard that reports the node's counts.
    pub shard: u32,
    /// Host on which the node runs.
    pub host: HostName,
    /// Random value drawn at the start of the process.
    pub run: u64,
}

impl NodeRun {
    /// Returns the key of the row with the number of the last flushed batch.
    #[must_use]
    pub fn cursor_key(&self) -> String {
        format!("usage/cursor/{}/{self}", self.shard)
    }

    /// Returns the key of the row with the counts that this run flushed in a window.
    #[must_use]
    pub fn node_key(&self, window: u64) -> String {
        format!("{}{self}", node_prefix(window, self.shard))
    }

    /// Returns the key of the window's row, which exists once the window is closed.
    #[must_use]
    pub fn window_key(&self, window: u64) -> String {
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
