use std::{collections::BTreeMap, time::Duration};

use tamarackdock_platform::order::Class;
use tamarackdock_types::{DataCentreName, clock::Instant};

use crate::{DataCentreLoad, Policy, TargetCounts, hysteresis::Hysteresis};

/// Settings of the [`Elastic`] policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Capacity beyond the measured demand, in percent of it.
    pub buffer_percent: u64,
    /// Share of the measured demand, in percent, for which the remaining targets
    /// must suffice when all cheap targets of one data centre are reclaimed.
    pub min_served_percent: u64,
    /// How long fewer targets must suffice before any is stopped.
    pub scale_down_delay: Duration,
    /// How long no cheap targets are planned after none was available.
    pub unavailable_backoff: Duration,
}

#[derive(Debug, Default)]
struct History {
    total: Hysteresis,
    ordinary: Hysteresis,
    no_cheap_until: Instant,
}

/// Policy that follows the measured demand. It plans as many cheap targets in each
/// data centre as the deployment can lose there at once and still serve
/// `min_served_percent` of the demand.
#[derive(Debug)]
pub struct Elastic {
    settings: Settings,
    histories: BTreeMap<DataCentreName, History>,
}

impl Elastic {
    /// Creates the policy without a history.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self { settings, histories: BTreeMap::new() }
    }

    fn total(&mut self, now: Instant, name: &DataCentreName, load: &DataCentreLoad) -> u32 {
        let capacity = load.capacity.max(1);
        let needed = percent(load.demand, 100 + self.settings.buffer_percent).div_ceil(capacity);
        let needed = u32::try_from(needed).unwrap_or(u32::MAX).min(load.limit);
        let history = self.histories.entry(name.clone()).or_default();
        history.total.apply(now, needed, self.settings.scale_down_delay).min(load.limit)
    }

    /// Splits a data centre's targets into classes. Fewer cheap targets than
    /// `max_cheap` do no harm, so hysteresis applies only to the ordinary ones.
    fn split(
        &mut self,
        now: Instant,
        name: &DataCentreName,
        total: u32,
        max_cheap: u32,
    ) -> TargetCounts {
        let history = self.histories.entry(name.clone()).or_default();
        let cheap = if now < history.no_cheap_until { 0 } else { max_cheap.min(total) };
        let ordinary =
            history.ordinary.apply(now, total - cheap, self.settings.scale_down_delay).min(total);
        TargetCounts { ordinary, cheap: total - ordinary }
    }
}

impl Policy for Elastic {
    fn plan(
        &mut self,
        now: Instant,
        loads: &BTreeMap<DataCentreName, DataCentreLoad>,
    ) -> BTreeMap<DataCentreName, TargetCounts> {
        self.histories.retain(|name, _| loads.contains_key(name));
        let mut totals = Vec::new();
        let (mut capacity, mut demand) = (0, 0);
        for (name, load) in loads {
            let total = self.total(now, name, load);
            capacity += u64::from(total) * load.capacity;
            demand += load.demand;
            totals.push((name, load, total));
        }
        let spare = capacity.saturating_sub(percent(demand, self.settings.min_served_percent));
        let mut plan = BTreeMap::new();
        for (name, load, total) in totals {
            let max_cheap = u32::try_from(spare / load.capacity.max(1)).unwrap_or(u32::MAX);
            plan.insert(name.clone(), self.split(now, name, total, max_cheap));
        }
        plan
    }

    fn on_unavailable(&mut self, now: Instant, data_centre: &DataCentreName, class: Class) {
        if class == Class::Cheap {
            let history = self.histories.entry(data_centre.clone()).or_default();
            history.no_cheap_until = now + self.settings.unavailable_backoff;
        }
    }
}

fn percent(value: u64, percent: u64) -> u64 {
    value.saturating_mul(percent).div_ceil(100)
}
