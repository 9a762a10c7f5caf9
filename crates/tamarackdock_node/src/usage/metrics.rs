use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts};

use crate::telemetry;

/// Metrics of usage counting and reporting.
pub(super) struct Metrics {
    /// Calls counted for client accounts.
    pub(super) calls: IntCounter,
    /// Tokens received from targets and counted for client accounts.
    pub(super) tokens: IntCounter,
    /// Reports sent, by outcome.
    pub(super) reports: IntCounterVec,
    /// Batches of counts that are not in the table.
    pub(super) unflushed: IntGauge,
}

impl Metrics {
    pub(super) fn new(metrics: &telemetry::Metrics) -> prometheus::Result<Self> {
        let reports = Opts::new("tamarackdock_usage_reports_total", "Usage reports by outcome.");
        Ok(Self {
            calls: metrics.register(IntCounter::new(
                "tamarackdock_usage_calls_total",
                "Calls counted for client accounts.",
            )?)?,
            tokens: metrics.register(IntCounter::new(
                "tamarackdock_usage_tokens_total",
                "Tokens received from targets and counted for client accounts.",
            )?)?,
            reports: metrics.register(IntCounterVec::new(reports, &["outcome"])?)?,
            unflushed: metrics.register(IntGauge::new(
                "tamarackdock_usage_unflushed_batches",
                "Batches of counts that are not in the table.",
            )?)?,
        })
    }
}
