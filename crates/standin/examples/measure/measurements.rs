use serde::Serialize;

use crate::usage_reports::UsageReports;

/// Measurements of one run with one policy. A value is `null` if it can't be computed.
#[derive(Debug, Serialize)]
pub(crate) struct Measurements {
    pub(crate) scenario: &'static str,
    pub(crate) policy: String,
    pub(crate) seed: u64,
    pub(crate) seconds: f64,
    /// Share of the run in which trainers waited for samples, from 0 to 1.
    pub(crate) trainer_idle_share: f64,
    /// Mean number of versions by which samples were older than the newest weights.
    /// Absent if no engine has loaded weights.
    pub(crate) staleness_mean: Option<f64>,
    pub(crate) staleness_p99: Option<u64>,
    pub(crate) steps: u64,
    pub(crate) step_p50_ms: Option<u64>,
    pub(crate) step_p99_ms: Option<u64>,
    /// Violations that trainers found in their samples.
    pub(crate) violations: usize,
    pub(crate) app_calls: u64,
    pub(crate) app_failed: u64,
    pub(crate) app_p50_ms: Option<u64>,
    pub(crate) app_p99_ms: Option<u64>,
    /// App account with the largest p99 latency.
    pub(crate) worst_account: Option<&'static str>,
    pub(crate) worst_account_p99_ms: Option<u64>,
    /// Largest p99 latency of an account divided by that of the median account.
    pub(crate) worst_to_median_p99: Option<f64>,
    /// Smallest share of an account's calls that was answered, from 0 to 1.
    pub(crate) least_success_share: Option<f64>,
    /// App calls that failed from when a data centre was taken out until it had recovered.
    pub(crate) out_app_failed: u64,
    /// App calls in that period that took longer than 1 s.
    pub(crate) out_app_slow: u64,
    /// App calls in that period that were answered or failed.
    pub(crate) out_app_calls: u64,
    /// Number of refused app calls for each pair of error code and `ran`.
    pub(crate) app_refusals: Vec<(String, u64)>,
    /// Orders that the platform received: starts, stops.
    pub(crate) orders: [usize; 2],
    /// Cost, in target seconds times price, per million tokens delivered.
    pub(crate) cost_per_million_tokens: Option<f64>,
    pub(crate) tokens_delivered: u64,
    /// Share of the generated tokens that came from cheap engines, from 0 to 1.
    pub(crate) cheap_token_share: Option<f64>,
    /// Starts at engines divided by the number of app calls that started and of samples
    /// of completed steps.
    pub(crate) attempts_per_call: Option<f64>,
    pub(crate) attempts_per_app_call: Option<f64>,
    pub(crate) attempts_per_sample: Option<f64>,
    /// Tokens generated for completed steps and not delivered, per token delivered in them.
    pub(crate) unused_sample_token_share: Option<f64>,
    pub(crate) engine_crashes: u64,
    pub(crate) reports: UsageReports,
    /// CPU seconds per second of a node's thread, including the handling of calls.
    pub(crate) node_cpu_share: Option<f64>,
    /// Absent, since the nodes share one process and have no counters of their own.
    pub(crate) node_memory_bytes: Option<u64>,
    pub(crate) node_control_bytes_per_second: Option<f64>,
    /// Resident memory of nodes and stand-ins together.
    pub(crate) process_memory_bytes: Option<u64>,
    /// Quantiles of the plot, each with the latency of app calls in ms.
    pub(crate) app_latency_ms: Vec<(f64, u64)>,
}
