use std::collections::BTreeMap;

use tamarackdock_platform::order::Class;
use tamarackdock_types::{DataCentreName, clock::Instant};

use crate::{DataCentreLoad, Policy, TargetCounts};

/// Baseline policy with the same number of targets in each data centre at all times.
#[derive(Debug, Clone, Copy)]
pub struct Fixed(pub TargetCounts);

impl Policy for Fixed {
    fn plan(
        &mut self,
        _now: Instant,
        loads: &BTreeMap<DataCentreName, DataCentreLoad>,
    ) -> BTreeMap<DataCentreName, TargetCounts> {
        loads.keys().map(|name| (name.clone(), self.0)).collect()
    }

    fn on_unavailable(&mut self, _now: Instant, _data_centre: &DataCentreName, _class: Class) {}
}
