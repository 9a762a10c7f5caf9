use prometheus::{IntCounterVec, IntGauge, Opts};

use crate::telemetry;

/// Counters of the data centres' leases.
pub(super) struct Metrics {
    pub(super) held: IntGauge,
    pub(super) loads: IntCounterVec,
    pub(super) orders: IntCounterVec,
}

impl Metrics {
    pub(super) fn new(metrics: &telemetry::Metrics) -> prometheus::Result<Self> {
        let loads =
            Opts::new("tamarackdock_weight_loads_total", "Orders to load weights by outcome.");
        let orders = Opts::new("tamarackdock_target_orders_total", "Orders of targets by outcome.");
        Ok(Self {
            orders: metrics.register(IntCounterVec::new(orders, &["outcome"])?)?,
            held: metrics.register(IntGauge::new(
                "tamarackdock_order_leases",
                "Data centres whose `orders` lease the node holds.",
            )?)?,
            loads: metrics.register(IntCounterVec::new(loads, &["outcome"])?)?,
        })
    }
}
