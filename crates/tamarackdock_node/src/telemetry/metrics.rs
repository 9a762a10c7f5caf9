use prometheus::{
    Encoder, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder, core::Collector,
};

/// The metrics of a node.
pub(crate) struct Metrics {
    registry: Registry,
    /// Answered calls by error code; `ok` for calls that succeeded.
    pub(crate) calls: IntCounterVec,
    /// Attempts on targets, retries included.
    pub(crate) attempts: IntCounter,
    /// Generated tokens passed to callers.
    pub(crate) tokens: IntCounter,
    /// Version of the active configuration.
    pub(crate) config_version: IntGauge,
    /// 1 while keyed calls are refused, otherwise 0.
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

    /// Registers a metric of one component and returns it.
    pub(crate) fn register<T: Collector + Clone + 'static>(
        &self,
        metric: T,
    ) -> prometheus::Result<T> {
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    /// Returns all metrics in the text format of Prometheus.
    pub(crate) fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Writing to memory fails only for an invalid metric family.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}
