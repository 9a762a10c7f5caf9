use std::collections::BTreeMap;

use tamarackdock_platform::order::Class;
use tamarackdock_types::{DataCentreName, clock::Instant};

use crate::{DataCentreLoad, TargetCounts};

/// Scaling policy, which decides how many targets run.
pub trait Policy {
    /// Returns the number of targets that each data centre should have.
    fn plan(
        &mut self,
        now: Instant,
        loads: &BTreeMap<DataCentreName, DataCentreLoad>,
    ) -> BTreeMap<DataCentreName, TargetCounts>;

    /// Records that no target of a class is available in a data centre at present.
    fn on_unavailable(&mut self, now: Instant, data_centre: &DataCentreName, class: Class);
}
