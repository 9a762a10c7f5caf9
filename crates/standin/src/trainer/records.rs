use std::time::Duration;

use super::Violation;

/// What a trainer saw, counted on its own side.
#[derive(Debug, Default)]
pub struct Records {
    /// Steps that were whole and acknowledged.
    pub steps: u64,
    /// Samples read, each slot once.
    pub samples: u64,
    /// Tokens in these samples.
    pub tokens: u64,
    /// Samples of whole steps.
    pub whole_step_samples: u64,
    /// Tokens in these samples.
    pub whole_step_tokens: u64,
    /// Time of each step from asking for it to having it whole.
    pub idle: Vec<Duration>,
    /// Time spent on computing.
    pub compute: Duration,
    /// Reads repeated because a response was lost or refused.
    pub repeated_reads: u64,
    /// Reads repeated to compare the bytes.
    pub compared_reads: u64,
    /// Responses lost, of all calls.
    pub lost: u64,
    /// Codes of refusals, of all calls.
    pub refusals: Vec<String>,
    /// Largest number of versions by which a sample was older than the watch.
    pub max_lag: u64,
    /// Versions by which each sample was older than the newest weights when it was read.
    pub ages: Vec<u64>,
    /// Broken promises.
    pub violations: Vec<Violation>,
}

impl Records {
    /// Returns the share of time in which the trainer was idle, from 0 to 1.
    #[must_use]
    pub fn idle_share(&self) -> f64 {
        let idle: Duration = self.idle.iter().sum();
        let total = idle + self.compute;
        if total.is_zero() { 0.0 } else { idle.as_secs_f64() / total.as_secs_f64() }
    }
}
