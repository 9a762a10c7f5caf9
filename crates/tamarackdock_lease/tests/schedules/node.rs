use std::net::{Ipv4Addr, SocketAddr};

use rand::{Rng, rngs::StdRng};
use tamarackdock_lease::{Lease, OperationIds};
use tamarackdock_types::{HostName, clock::Instant};

use crate::support::timing;

/// Clocks run slow or fast by this much. One margin covers this drift over
/// the validity, so both the holder's and the candidate's margin are needed.
const DRIFT_PPM: u64 = 45_000;

pub(crate) struct Node {
    pub(crate) lease: Lease,
    pub(crate) host: usize,
    /// Address that the process has bound exclusively.
    pub(crate) address: Option<SocketAddr>,
    /// Time until which an acquisition counts as that of a restarted holder.
    pub(crate) resumes_until: u64,
    pub(crate) run: u64,
    pub(crate) paused_until: u64,
    pub(crate) cut_until: u64,
    offset: u64,
    ppm: u64,
}

impl Node {
    pub(crate) fn new(
        host: usize,
        address: Option<SocketAddr>,
        run: u64,
        random: &mut StdRng,
    ) -> Self {
        let holder = HostName::new(&format!("h{host}")).unwrap();
        let operation_ids = OperationIds::new(holder.as_str(), random.random());
        Self {
            lease: Lease::new("orders/d1", holder, address, timing(), operation_ids),
            host,
            address,
            resumes_until: 0,
            run,
            paused_until: 0,
            cut_until: 0,
            offset: random.random_range(0..1_000_000),
            ppm: 1_000_000 - DRIFT_PPM + 2 * DRIFT_PPM * random.random_range(0..2),
        }
    }

    /// Returns the address of a machine.
    pub(crate) fn address(machine: usize) -> SocketAddr {
        let number = u8::try_from(machine + 1).unwrap();
        (Ipv4Addr::new(10, 0, 0, number), 7000).into()
    }

    pub(crate) fn local(&self, time: u64) -> Instant {
        Instant::from_millis(self.offset + time * self.ppm / 1_000_000)
    }

    /// Returns the first time at which the node's clock has reached `local`.
    pub(crate) fn time(&self, local: Instant) -> u64 {
        local.as_millis().saturating_sub(self.offset) * 1_000_000 / self.ppm + 1
    }
}
