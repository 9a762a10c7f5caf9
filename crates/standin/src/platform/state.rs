use std::{collections::BTreeMap, time::SystemTime};

use bytes::Bytes;
use tamarackdock_platform::weight::Latest;
use tamarackdock_types::ServiceName;

use super::{Faults, HostList, Orders, Rates, Table};

/// Everything that the platform holds and records.
#[derive(Debug)]
pub struct State {
    /// Table service.
    pub table: Table,
    /// Object store.
    pub objects: BTreeMap<String, Bytes>,
    /// Ordering interface.
    pub orders: Orders,
    /// Every report that arrived, by window, in the order of arrival.
    /// The first of each window is the accepted one.
    pub reports: BTreeMap<u64, Vec<Bytes>>,
    /// When the first report of each window arrived.
    pub report_arrivals: BTreeMap<u64, SystemTime>,
    /// Host list.
    pub hosts: HostList,
    /// Weight store.
    pub weights: BTreeMap<ServiceName, Latest>,
    /// Switchable faults.
    pub faults: Faults,
    /// Reads and writes per second.
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

    /// Stores an object and returns whether it is there with these bytes.
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
