use std::collections::BTreeMap;

use super::Name;

/// Returns the number of targets that each model should have, in proportion to its demand and at
/// least one. Without any demand, all have the same number.
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub fn shares(targets: usize, demand: &BTreeMap<Name, u64>) -> BTreeMap<Name, f64> {
    let total: u64 = demand.values().sum();
    let share = |work: u64| match total {
        0 => targets as f64 / demand.len() as f64,
        total => (targets as f64 * work as f64 / total as f64).max(1.0),
    };
    demand.iter().map(|(model, work)| (model.clone(), share(*work))).collect()
}
