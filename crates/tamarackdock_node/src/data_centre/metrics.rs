use prometheus::{IntCounterVec, IntGauge, Opts};

use crate::telemetry;

/// Metrics of the work under the data centres' leases.
pub(super) struct Metrics {
    pub(super) held_leases: IntGauge,
    pub(super) weight_loads: IntCounterVec,
    pub(super) target_orders: IntCounterVec,
}

impl Metrics {
    pub(super) fn new(metrics: &telemetry::Metrics) -> prometheus::Result<Self> {
        let loads =
            Opts::new("tamarackdock_weight_loads_total", "Orders to load weights by outcome.");
        let orders = Opts::new("tamarackdock_target_orders_total", "Orders of targets by outcome.");
        Ok(Self {
            target_orders: metrics.register(IntCounterVec::new(orders, &["outcome"])?)?,
            held_leases: metrics.register(IntGauge::new(
                "tamarackdock_order_leases",
                "Data centres whose `orders` lease the node holds.",
            )?)?,
            weight_loads: metrics.register(IntCounterVec::new(loads, &["outcome"])?)?,
        })
    }
}
