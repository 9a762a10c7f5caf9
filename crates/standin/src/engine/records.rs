use std::collections::BTreeMap;

use tamarackdock_types::{fence::Epoch, weight::Version};

/// What an engine saw, counted independently of the nodes.
#[derive(Debug, Default)]
pub struct Records {
    /// Tokens generated, by request id and version.
    pub tokens: BTreeMap<(String, Version), u64>,
    /// Times that each request id got a slot.
    pub runs: BTreeMap<String, u64>,
    /// Request ids in the order in which they got a slot.
    pub started: Vec<String>,
    /// Calls that ended before their last token because the caller left.
    pub cancelled: u64,
    /// Largest number of calls that ran at the same time while cold.
    pub max_running_cold: usize,
    /// Requests that carried an `authorization` header.
    pub authorized_requests: u64,
    /// Load orders received: operation, epoch, version and whether they took effect.
    pub loads: Vec<(String, Epoch, Version, bool)>,
    /// Crashes.
    pub crashes: u64,
}

impl Records {
    /// Returns the tokens generated in total.
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
