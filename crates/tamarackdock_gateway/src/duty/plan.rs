//! Plan of which target serves which model, and which weight version it loads when.
//!
//! The intended load is several trainers that share the targets and publish a new
//! version every few seconds. A target that serves only one model loads only that
//! model, so trainers don't slow each other down. A step accepts the version before
//! its own, so half of a model's targets load each version while the other half
//! serves, and each target loads every second version.

use std::{cmp::Reverse, collections::BTreeMap};

pub(crate) use tamarackdock_weights::wave::Load as DueLoad;
use tamarackdock_weights::wave::{self, Backlog, State, shares};

use crate::deployment::Name;

/// Number of targets by which a model must exceed its share of the demand before one
/// of them is moved to another model.
const MOVE_THRESHOLD: f64 = 0.8;

/// A target as input of the plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PlanTarget {
    pub(crate) id: Name,
    /// Loaded weight version by model.
    pub(crate) versions: BTreeMap<Name, u64>,
    /// Model that the target is being ordered to load.
    pub(crate) loading: Option<Name>,
}

/// Returns the newest version of a model.
pub(crate) fn newest(model: &Name, published: &BTreeMap<Name, u64>) -> u64 {
    published.get(model).copied().unwrap_or(1)
}

/// Returns by how many versions a target is behind the newest one of a model.
fn lag(target: &PlanTarget, model: &Name, published: &BTreeMap<Name, u64>) -> u64 {
    newest(model, published).saturating_sub(target.versions.get(model).copied().unwrap_or_default())
}

/// Returns the model that a target loads or is most up to date for, or `None` if that
/// is the case for several models.
fn current(target: &PlanTarget, models: &[&Name], published: &BTreeMap<Name, u64>) -> Option<Name> {
    if let Some(model) = target.loading.as_ref().filter(|model| models.contains(model)) {
        return Some(model.clone());
    }
    let least = models.iter().map(|model| lag(target, model, published)).min()?;
    let mut best = models.iter().filter(|model| lag(target, model, published) == least);
    match (best.next(), best.next()) {
        (Some(model), None) => Some((**model).clone()),
        _ => None,
    }
}

/// Adds the models that services list to the demand, each with the mean of the others. The intended
/// load is the first step of several trainers, which is requested by all of them at the same time:
/// each owner of a job would take all targets for its own model, and two thirds of the items would
/// wait in the queues of the targets, long ones among them.
pub(crate) fn expected_demand<'a>(
    demand: BTreeMap<Name, u64>,
    listed: impl Iterator<Item = &'a Name>,
) -> BTreeMap<Name, u64> {
    let total: u64 = demand.values().sum();
    let Some(mean) = total.checked_div(demand.len() as u64) else { return demand };
    let mut expected = demand;
    for model in listed {
        expected.entry(model.clone()).or_insert(mean);
    }
    expected
}

/// Assigns each target to one model, in proportion to demand. Targets stay with the
/// model that they are most up to date for, unless the difference to the proportional
/// shares is too large.
pub(crate) fn assign(
    targets: &[PlanTarget],
    demand: &BTreeMap<Name, u64>,
    published: &BTreeMap<Name, u64>,
) -> BTreeMap<Name, Name> {
    let models: Vec<&Name> = demand.keys().collect();
    if models.is_empty() {
        return BTreeMap::new();
    }
    let ideal = shares(targets.len(), demand);
    let mut assigned: BTreeMap<Name, Name> = BTreeMap::new();
    let mut undecided = Vec::new();
    for target in targets {
        match current(target, &models, published) {
            Some(model) => {
                assigned.insert(target.id.clone(), model);
            }
            None => undecided.push(target),
        }
    }
    for target in undecided {
        let model = most_underserved(&models, &ideal, &assigned);
        assigned.insert(target.id.clone(), model);
    }
    while let Some((id, model)) = next_move(targets, &models, &ideal, &assigned) {
        assigned.insert(id, model);
    }
    assigned
}

#[allow(clippy::cast_precision_loss)]
fn surplus(model: &Name, ideal: &BTreeMap<Name, f64>, assigned: &BTreeMap<Name, Name>) -> f64 {
    let count = assigned.values().filter(|other| *other == model).count();
    count as f64 - ideal.get(model).copied().unwrap_or_default()
}

fn most_underserved(
    models: &[&Name],
    ideal: &BTreeMap<Name, f64>,
    assigned: &BTreeMap<Name, Name>,
) -> Name {
    let least = models.iter().min_by(|left, right| {
        surplus(left, ideal, assigned).total_cmp(&surplus(right, ideal, assigned))
    });
    (**least.expect("the list of models is not empty")).clone()
}

/// Returns the next target to move to another model, and that model.
fn next_move(
    targets: &[PlanTarget],
    models: &[&Name],
    ideal: &BTreeMap<Name, f64>,
    assigned: &BTreeMap<Name, Name>,
) -> Option<(Name, Name)> {
    let to = most_underserved(models, ideal, assigned);
    let from = models.iter().find(|model| {
        surplus(model, ideal, assigned) > MOVE_THRESHOLD
            && surplus(model, ideal, assigned) - surplus(&to, ideal, assigned) > 1.0
    })?;
    let idle =
        |target: &&PlanTarget| assigned.get(&target.id) == Some(from) && target.loading.is_none();
    targets.iter().rev().find(idle).map(|target| (target.id.clone(), to))
}

/// Returns the targets of each model with their state, as input of [`wave`].
pub(crate) fn assigned_targets(
    targets: &[PlanTarget],
    assigned: &BTreeMap<Name, Name>,
    published: &BTreeMap<Name, u64>,
) -> Vec<wave::Target> {
    let of_model = |target: &PlanTarget| {
        let model = assigned.get(&target.id)?.clone();
        let version = target.versions.get(&model).copied().unwrap_or_default();
        let state = match &target.loading {
            Some(_) => State::Loading(newest(&model, published)),
            None => State::Idle,
        };
        Some(wave::Target { id: target.id.clone(), model, version, state })
    };
    targets.iter().filter_map(of_model).collect()
}

/// Returns the loads that are due now, in the order of the targets' ids. Targets that the next step
/// can't use, two or more versions behind, load first. Of the others, half load each version.
pub(crate) fn due_loads(
    targets: &[PlanTarget],
    assigned: &BTreeMap<Name, Name>,
    published: &BTreeMap<Name, u64>,
) -> Vec<DueLoad> {
    let loading = targets.iter().filter(|target| target.loading.is_some()).count();
    let room = wave::ceiling(targets.len()).saturating_sub(loading);
    let of_models = assigned_targets(targets, assigned, published);
    let backlog = Backlog::new(&of_models, |model| Some(newest(model, published)));
    backlog.loads(room, |next| (Reverse(next.lag), next.target.clone()))
}
