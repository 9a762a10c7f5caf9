use prometheus::{
    Encoder, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder, core::Collector,
};

/// Counters of a node, in the text format of Prometheus on request.
pub(crate) struct Metrics {
    registry: Registry,
    /// Answered calls by code, `ok` for answers.
    pub(crate) calls: IntCounterVec,
    /// Attempts on targets.
    pub(crate) attempts: IntCounter,
    /// Generated tokens passed to callers.
    pub(crate) tokens: IntCounter,
    /// Version of the configuration in force.
    pub(crate) config_version: IntGauge,
    /// 1 while keyed calls are refused.
    pub(crate) cut_off: IntGauge,
}

impl Metrics {
    pub(crate) fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let calls = Opts::new("tamarackdock_calls_total", "Answered calls by outcome.");
        let metrics = Self {
            calls: IntCounterVec::new(calls, &["code"])?,
            attempts: IntCounter::new(
                "tamarackdock_attempts_total",
                "Attempts on targets, retries included.",
            )?,
            tokens: IntCounter::new(
                "tamarackdock_tokens_total",
                "Generated tokens passed to callers.",
            )?,
            config_version: IntGauge::new(
                "tamarackdock_config_version",
                "Version of the configuration in force.",
            )?,
            cut_off: IntGauge::new(
                "tamarackdock_cut_off",
                "1 while keyed calls are refused, since keys may have been withdrawn.",
            )?,
            registry,
        };
        metrics.registry.register(Box::new(metrics.calls.clone()))?;
        metrics.registry.register(Box::new(metrics.attempts.clone()))?;
        metrics.registry.register(Box::new(metrics.tokens.clone()))?;
        metrics.registry.register(Box::new(metrics.config_version.clone()))?;
        metrics.registry.register(Box::new(metrics.cut_off.clone()))?;
        Ok(metrics)
    }

    /// Adds a metric of one part.
    pub(crate) fn register<T: Collector + Clone + 'static>(
        &self,
        metric: T,
    ) -> prometheus::Result<T> {
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    /// Returns all metrics as text.
    pub(crate) fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Writing to memory fails only for an invalid metric family.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}
