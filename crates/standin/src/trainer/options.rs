use std::{net::SocketAddr, time::Duration};

use crate::engine::text::mix;

/// What a trainer asks for.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of the trainer.
    pub name: String,
    /// Key of its client account.
    pub key: String,
    /// Caller ports of the nodes, used one after the other when calls fail.
    pub nodes: Vec<SocketAddr>,
    /// Seed of the prompts and of the cursors that are read twice.
    pub seed: u64,
    /// Number of the first step.
    pub first_step: u64,
    /// Number of steps.
    pub steps: u64,
    /// Groups in a step, each with a prompt of its own.
    pub groups: usize,
    /// Smallest length of a prompt in bytes; shorter ones are padded.
    pub prompt_bytes: usize,
    /// Samples of a group.
    pub group_size: usize,
    /// Longest sample in tokens.
    pub max_tokens: u64,
    /// Number of versions by which a sample may be older than the newest weights.
    pub staleness_bound: u64,
    /// Time for which the trainer works on a step.
    pub compute_time: Duration,
    /// Time for which a read may wait for samples.
    pub read_wait: Duration,
    /// Pause before a failed call is repeated.
    pub retry_pause: Duration,
    /// Share of cursors that are read a second time to compare the bytes, in percent.
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
            let text = format!("{} {step} {group} {:016x}", self.name, self.mixed(step, group));
            format!("{text:.<width$}", width = self.prompt_bytes)
        };
        (0..self.groups).map(prompt).collect()
    }

    /// Decides whether the read of a cursor is repeated.
    pub(super) fn rereads(&self, step: u64, read: usize) -> bool {
        self.mixed(step, read) % 100 < self.reread_percent
    }

    fn mixed(&self, step: u64, index: usize) -> u64 {
        let index = u64::try_from(index).unwrap_or(u64::MAX);
        mix(self.seed ^ mix(step ^ mix(index)))
    }
}
