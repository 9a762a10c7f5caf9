use std::time::Duration;

use super::Violation;

/// Results of a trainer's steps, as the trainer counts them.
#[derive(Debug, Default)]
pub struct Records {
    /// Number of complete and acknowledged steps.
    pub steps: u64,
    /// Number of samples read, without those of repeated reads.
    pub samples: u64,
    /// Tokens in all of these samples.
    pub tokens: u64,
    /// Number of samples read up to the end of the last acknowledged step.
    pub whole_step_samples: u64,
    /// Tokens read up to the end of the last acknowledged step.
    pub whole_step_tokens: u64,
    /// Time of each step from its request to its last sample, in which the trainer has
    /// nothing to compute.
    pub step_wait_times: Vec<Duration>,
    /// Total time that the trainer has computed.
    pub compute_time: Duration,
    /// Number of reads repeated because of a lost, refused or malformed response.
    pub repeated_reads: u64,
    /// Number of reads repeated to compare the samples.
    pub compared_reads: u64,
    /// Number of calls without a complete response.
    pub lost_responses: u64,
    /// Codes of the error responses to calls.
    pub refusals: Vec<String>,
    /// Largest number of versions by which a sample was older than the newest weights that
    /// nodes knew when it was requested.
    pub max_lag: u64,
    /// Number of versions by which each sample was older than the newest published weights
    /// when it was read.
    pub ages: Vec<u64>,
    /// Broken promises.
    pub violations: Vec<Violation>,
}

impl Records {
    /// Returns the share of idle time in the idle and compute time, from 0 to 1.
    #[must_use]
    pub fn idle_share(&self) -> f64 {
        let idle: Duration = self.step_wait_times.iter().sum();
        let total = idle + self.compute_time;
        if total.is_zero() { 0.0 } else { idle.as_secs_f64() / total.as_secs_f64() }
    }
}
