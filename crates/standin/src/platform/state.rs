use std::{collections::BTreeMap, time::SystemTime};

use bytes::Bytes;
use tamarackdock_platform::weight::LatestWeights;
use tamarackdock_types::ServiceName;

use super::{Faults, HostList, Orders, Rates, Table};

/// What the platform stores and the requests that it recorded.
#[derive(Debug)]
pub struct State {
    /// Rows of the table service.
    pub table: Table,
    /// Contents of the object store, by name.
    pub objects: BTreeMap<String, Bytes>,
    /// Targets, and the orders received for them.
    pub orders: Orders,
    /// Reports received for each usage window, in the order of arrival. The first is the
    /// accepted one.
    pub reports: BTreeMap<u64, Vec<Bytes>>,
    /// Time at which the first report of each window arrived.
    pub report_arrivals: BTreeMap<u64, SystemTime>,
    /// Hosts that the platform lists.
    pub hosts: HostList,
    /// Newest weights of each service.
    pub weights: BTreeMap<ServiceName, LatestWeights>,
    /// Current faults.
    pub faults: Faults,
    /// Numbers of reads and writes.
    pub rates: Rates,
}

impl State {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            table: Table::default(),
            objects: BTreeMap::new(),
            orders: Orders::default(),
            reports: BTreeMap::new(),
            report_arrivals: BTreeMap::new(),
            hosts: HostList::new(),
            weights: BTreeMap::new(),
            faults: Faults::new(seed),
            rates: Rates::new(),
        }
    }

    /// Stores an object unless its name is taken, and returns whether the stored bytes
    /// equal the given ones.
    pub(super) fn put(&mut self, name: &str, bytes: &Bytes) -> bool {
        self.objects.entry(name.into()).or_insert_with(|| bytes.clone()) == bytes
    }

    /// Records a report and returns whether it equals the accepted one.
    pub(super) fn report(&mut self, window: u64, bytes: &Bytes) -> bool {
        self.report_arrivals.entry(window).or_insert_with(SystemTime::now);
        let received = self.reports.entry(window).or_default();
        received.push(bytes.clone());
        received[0] == bytes
    }
}
