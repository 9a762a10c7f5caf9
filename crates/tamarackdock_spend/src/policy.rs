use std::collections::BTreeMap;

use tamarackdock_platform::order::Class;
use tamarackdock_types::{DataCentreName, clock::Instant};

use crate::{Centre, Wanted};

/// A rule for the number of targets.
pub trait Policy {
    /// Makes the plan of all data centres.
    fn plan(
        &mut self,
        now: Instant,
        centres: &BTreeMap<DataCentreName, Centre>,
    ) -> BTreeMap<DataCentreName, Wanted>;

    /// Takes note that no target of a class can be had in a data centre at present.
    fn on_unavailable(&mut self, now: Instant, data_centre: &DataCentreName, class: Class);
}
