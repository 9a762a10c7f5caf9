use std::collections::BTreeMap;

use tamarackdock_types::{fence::Epoch, weight::Version};

/// Requests and results of an engine, counted independently of the nodes.
#[derive(Debug, Default)]
pub struct Records {
    /// Number of tokens generated, by request id and weight version.
    pub tokens: BTreeMap<(String, Version), u64>,
    /// Number of times that the call with each request id got a slot.
    pub runs: BTreeMap<String, u64>,
    /// Request ids in the order in which they got a slot.
    pub started: Vec<String>,
    /// Number of calls that ended before their last token because the caller disconnected.
    pub cancelled: u64,
    /// Largest number of calls that ran at the same time while cold.
    pub max_running_cold: usize,
    /// Number of requests with an `authorization` header.
    pub authorized_requests: u64,
    /// Orders to load weights: operation, epoch, version and whether the weights were loaded.
    pub weight_loads: Vec<(String, Epoch, Version, bool)>,
    /// Number of crashes.
    pub crashes: u64,
}

impl Records {
    /// Returns the total number of tokens generated.
    #[must_use]
    pub fn total_tokens(&self) -> u64 {
        self.tokens.values().sum()
    }

    pub(super) fn count_token(&mut self, id: &str, version: Version) {
        *self.tokens.entry((id.into(), version)).or_default() += 1;
    }

    pub(super) fn count_start(&mut self, id: &str) {
        *self.runs.entry(id.into()).or_default() += 1;
        self.started.push(id.into());
    }
}
