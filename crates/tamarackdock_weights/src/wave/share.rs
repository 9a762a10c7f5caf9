use std::collections::BTreeMap;

use super::Name;

/// Returns the number of targets that each model should have: in proportion to its demand, and at
/// least one. What the models with little demand get beyond their proportion is taken from the
/// others, so that the numbers add up to that of the targets. If there are no more targets than
/// models, each model should have one. Without any demand, all have the same number.
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub fn shares(targets: usize, demand: &BTreeMap<Name, u64>) -> BTreeMap<Name, f64> {
    if targets <= demand.len() {
        return demand.keys().map(|model| (model.clone(), 1.0)).collect();
    }
    let mut rest: Vec<(&Name, u64)> = demand.iter().map(|(model, work)| (model, *work)).collect();
    // In the order of demand, each model that gets one target leaves fewer for those after it.
    rest.sort_by_key(|(_, work)| *work);
    let mut left = targets as f64;
    let mut total: u64 = demand.values().sum();
    let mut shares = BTreeMap::new();
    for (index, (model, work)) in rest.iter().enumerate() {
        let share = match total {
            0 => left / (rest.len() - index) as f64,
            total => (left * *work as f64 / total as f64).max(1.0),
        };
        shares.insert((*model).clone(), share);
        left -= share;
        total -= work;
    }
    shares
}
