use std::{net::SocketAddr, time::Duration};

use crate::engine::text::mix;

/// Number and form of a trainer's steps.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of the trainer in the configuration.
    pub name: String,
    /// API key of the trainer's client account.
    pub key: String,
    /// Caller ports of the nodes. A failed call is repeated at the next one.
    pub nodes: Vec<SocketAddr>,
    /// Seed of the prompts and of the choice of cursors that are read twice.
    pub seed: u64,
    /// Number of the first step.
    pub first_step: u64,
    /// Number of steps to run.
    pub steps: u64,
    /// Number of groups in a step, each with its own prompt.
    pub groups: usize,
    /// Smallest length of a prompt in bytes; shorter ones are padded.
    pub prompt_bytes: usize,
    /// Number of samples in a group.
    pub group_size: usize,
    /// Upper bound for the length of a sample in tokens.
    pub max_tokens: u64,
    /// Number of versions by which a sample may be older than the newest weights that
    /// nodes know.
    pub staleness_bound: u64,
    /// Time that the trainer computes after each step.
    pub compute_time: Duration,
    /// Time for which a node may hold a read that has no samples yet.
    pub read_wait: Duration,
    /// Pause before a failed call is repeated.
    pub retry_pause: Duration,
    /// Share of reads that are repeated from the same cursor to compare the samples, in
    /// percent.
    pub reread_percent: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            name: "trainer".into(),
            key: String::new(),
            nodes: Vec::new(),
            seed: 1,
            first_step: 1,
            steps: 1,
            groups: 4,
            prompt_bytes: 0,
            group_size: 4,
            max_tokens: 64,
            staleness_bound: 1,
            compute_time: Duration::ZERO,
            read_wait: Duration::from_secs(1),
            retry_pause: Duration::from_millis(50),
            reread_percent: 10,
        }
    }
}

impl Options {
    /// Returns the prompts of a step, one for each group.
    #[must_use]
    pub fn prompts(&self, step: u64) -> Vec<String> {
        let prompt = |group| {
            let text = format!("{} {step} {group} {:016x}", self.name, self.mix_seed(step, group));
            format!("{text:.<width$}", width = self.prompt_bytes)
        };
        (0..self.groups).map(prompt).collect()
    }

    /// Returns whether the read with a given index is repeated.
    pub(super) fn is_repeated(&self, step: u64, read: usize) -> bool {
        self.mix_seed(step, read) % 100 < self.reread_percent
    }

    fn mix_seed(&self, step: u64, index: usize) -> u64 {
        let index = u64::try_from(index).unwrap_or(u64::MAX);
        mix(self.seed ^ mix(step ^ mix(index)))
    }
}
