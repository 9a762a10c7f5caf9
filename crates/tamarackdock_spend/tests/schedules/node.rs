use std::time::Duration;

use rand::{Rng, rngs::StdRng};
use tamarackdock_lease::{Lease, OperationIds, Timing};
use tamarackdock_spend::{Receiver, Reconciler};
use tamarackdock_types::{DataCentreName, HostName, clock::Instant};

/// Clocks run too slow or too fast by this rate.
const DRIFT_PPM: u64 = 45_000;
pub(crate) const DELIVERY_MS: u64 = 200;

/// One of the processes. Times are in milliseconds of the simulation's clock.
pub(crate) struct Node {
    pub(crate) lease: Lease,
    pub(crate) reconciler: Reconciler,
    pub(crate) incarnation: u64,
    pub(crate) paused_until: u64,
    pub(crate) partitioned_until: u64,
    /// Times at which the timers of the lease and of the orders fire.
    pub(crate) timers: [u64; 2],
    offset: u64,
    ppm: u64,
}

impl Node {
    pub(crate) fn new(index: usize, incarnation: u64, kind: Receiver, random: &mut StdRng) -> Self {
        let millis = Duration::from_millis;
        let timing = Timing {
            duration: millis(2000),
            margin: millis(100),
            poll: millis(200),
            send_window: millis(300),
            delivery: millis(DELIVERY_MS),
        };
        let holder = HostName::new(&format!("h{index}")).unwrap();
        let operation_ids = OperationIds::new(holder.as_str(), random.random());
        let data_centre = DataCentreName::new("d1").unwrap();
        Self {
            lease: Lease::new("orders/d1", holder, None, timing.check().unwrap(), operation_ids),
            reconciler: Reconciler::new(data_centre, kind, millis(150)),
            incarnation,
            paused_until: 0,
            partitioned_until: 0,
            timers: [0; 2],
            offset: random.random_range(0..1_000_000),
            ppm: 1_000_000 - DRIFT_PPM + 2 * DRIFT_PPM * random.random_range(0..2),
        }
    }

    /// Converts a time of the simulation to the node's clock.
    pub(crate) fn local(&self, time: u64) -> Instant {
        Instant::from_millis(self.offset + time * self.ppm / 1_000_000)
    }

    /// Returns the first time at which the node's clock has reached `local`.
    pub(crate) fn time(&self, local: Instant) -> u64 {
        local.as_millis().saturating_sub(self.offset) * 1_000_000 / self.ppm + 1
    }
}
