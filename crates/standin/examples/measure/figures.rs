use serde::Serialize;

use crate::reports::Reports;

/// What one run of one policy showed. A figure whose inputs are missing is `null`.
#[derive(Debug, Serialize)]
pub(crate) struct Figures {
    pub(crate) scenario: &'static str,
    pub(crate) policy: String,
    pub(crate) seed: u64,
    pub(crate) seconds: f64,
    /// Share of the run in which trainers waited for samples.
    pub(crate) trainer_idle_share: f64,
    /// Versions by which samples were older than the newest weights. Missing
    /// while no engine has loaded weights.
    pub(crate) staleness_mean: Option<f64>,
    pub(crate) staleness_p99: Option<u64>,
    pub(crate) steps: u64,
    pub(crate) step_p50_ms: Option<u64>,
    pub(crate) step_p99_ms: Option<u64>,
    /// Broken promises that trainers saw.
    pub(crate) violations: usize,
    pub(crate) app_calls: u64,
    pub(crate) app_failed: u64,
    pub(crate) app_p50_ms: Option<u64>,
    pub(crate) app_p99_ms: Option<u64>,
    /// Account with the largest p99.
    pub(crate) worst_account: Option<&'static str>,
    pub(crate) worst_account_p99_ms: Option<u64>,
    /// The largest p99 divided by that of the median account.
    pub(crate) worst_to_median_p99: Option<f64>,
    /// Smallest share of an account's calls that succeeded.
    pub(crate) least_success_share: Option<f64>,
    /// Calls while the data centre left and returned.
    pub(crate) out_app_failed: u64,
    pub(crate) out_app_slow: u64,
    pub(crate) out_app_calls: u64,
    /// Refusals of app calls by code and `ran`.
    pub(crate) app_refusals: Vec<(String, u64)>,
    /// Orders that the platform got, starts and stops.
    pub(crate) orders: [usize; 2],
    /// Target seconds times price by million tokens delivered.
    pub(crate) cost_per_million_tokens: Option<f64>,
    pub(crate) tokens_delivered: u64,
    pub(crate) cheap_token_share: Option<f64>,
    /// Starts at engines by app calls that started and samples of whole steps.
    pub(crate) attempts_per_call: Option<f64>,
    pub(crate) attempts_per_app_call: Option<f64>,
    pub(crate) attempts_per_sample: Option<f64>,
    /// Tokens generated for whole steps and not delivered, by tokens delivered in them.
    pub(crate) unused_sample_token_share: Option<f64>,
    pub(crate) engine_crashes: u64,
    pub(crate) reports: Reports,
    /// CPU seconds by second of a node's thread, with the work of calls.
    pub(crate) node_cpu_share: Option<f64>,
    /// The nodes share one process and have no counters of their own.
    pub(crate) node_memory_bytes: Option<u64>,
    pub(crate) node_control_bytes_per_second: Option<f64>,
    /// Resident memory of nodes and stand-ins together.
    pub(crate) process_memory_bytes: Option<u64>,
    /// Latency of app calls in ms at the quantiles of the plot.
    pub(crate) app_latency_ms: Vec<(f64, u64)>,
}
