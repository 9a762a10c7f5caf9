//! Plan of which target serves which model, and which weight version it loads when.
//!
//! The intended load is several trainers that share the targets and publish a new
//! version every few seconds. A target that serves only one model loads only that
//! model, so trainers don't slow each other down. A step accepts the version before
//! its own, so half of a model's targets load each version while the other half
//! serves, and each target loads every second version.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

pub(crate) use tamarackdock_weights::wave::Load as DueLoad;
use tamarackdock_weights::wave::{self, Backlog, State, shares};

use crate::deployment::Name;

/// Number of targets by which a model must exceed its share of the demand before one
/// of them is moved to another model.
const MOVE_THRESHOLD: f64 = 0.8;

/// The models that each target serves, the one that it is intended for first. There is a second one
/// only if there are more models with open jobs than targets.
pub(crate) type Assigned = BTreeMap<Name, Vec<Name>>;

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
///
/// Each model in `open`, those with open jobs, has a target. One that has none gets one from a model
/// that keeps another one, or from one without open jobs. Otherwise it shares a target, so that two
/// models never take a target from each other in turn. See
/// `docs/incidents/models-without-targets.md`.
pub(crate) fn assign(
    targets: &[PlanTarget],
    demand: &BTreeMap<Name, u64>,
    open: &BTreeSet<Name>,
    published: &BTreeMap<Name, u64>,
) -> Assigned {
    let models: Vec<&Name> = demand.keys().collect();
    if models.is_empty() {
        return Assigned::new();
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
    let unserved = give_targets(targets, demand, open, published, &ideal, &mut assigned);
    while let Some((id, model)) = next_move(targets, &models, &ideal, &assigned) {
        assigned.insert(id, model);
    }
    share_targets(targets, unserved, published, assigned)
}

/// Gives a target to each open model without one, those with most demand first, as far as other
/// models can do without one. Returns the models that still have none.
fn give_targets<'a>(
    targets: &[PlanTarget],
    demand: &BTreeMap<Name, u64>,
    open: &'a BTreeSet<Name>,
    published: &BTreeMap<Name, u64>,
    ideal: &BTreeMap<Name, f64>,
    assigned: &mut BTreeMap<Name, Name>,
) -> Vec<&'a Name> {
    let has_none = |model: &&Name| !assigned.values().any(|other| other == *model);
    let mut waiting: Vec<&Name> =
        open.iter().filter(|model| demand.contains_key(*model)).filter(has_none).collect();
    waiting.sort_by_key(|model| Reverse(demand[*model]));
    let mut unserved = Vec::new();
    for model in waiting {
        match spare_target(targets, model, open, published, ideal, assigned) {
            Some(target) => {
                assigned.insert(target, model.clone());
            }
            None => unserved.push(model),
        }
    }
    unserved
}

/// Returns the target that another model gives to one without any. Of the models that keep another
/// target, the one with most beyond its share gives one, and otherwise a model without open jobs.
/// It gives the target that needs the fewest versions to serve the other model, and of these the
/// one that is the furthest behind for itself. A target that is loading is not given away.
fn spare_target(
    targets: &[PlanTarget],
    to: &Name,
    open: &BTreeSet<Name>,
    published: &BTreeMap<Name, u64>,
    ideal: &BTreeMap<Name, f64>,
    assigned: &BTreeMap<Name, Name>,
) -> Option<Name> {
    let keeps_another =
        |model: &Name| assigned.values().filter(|other| *other == model).nth(1).is_some();
    let idle = |model: &Name| {
        let is_idle = |target: &&PlanTarget| {
            target.loading.is_none() && assigned.get(&target.id) == Some(model)
        };
        targets.iter().filter(is_idle).collect::<Vec<_>>()
    };
    let donors = ideal.keys().filter(|model| keeps_another(model) || !open.contains(*model));
    let from = donors.filter(|model| !idle(model).is_empty()).max_by(|left, right| {
        let by_surplus = surplus(left, ideal, assigned).total_cmp(&surplus(right, ideal, assigned));
        keeps_another(left).cmp(&keeps_another(right)).then(by_surplus)
    })?;
    let cost = |target: &&PlanTarget| {
        let loads = lag(target, to, published);
        (loads, Reverse(lag(target, from, published)), Reverse(target.id.clone()))
    };
    idle(from).into_iter().min_by_key(cost).map(|target| target.id.clone())
}

/// Lets the models that got no target share one, on targets that serve the fewest models and need
/// the fewest versions for it.
fn share_targets(
    targets: &[PlanTarget],
    unserved: Vec<&Name>,
    published: &BTreeMap<Name, u64>,
    assigned: BTreeMap<Name, Name>,
) -> Assigned {
    let mut shared: Assigned =
        assigned.into_iter().map(|(target, model)| (target, vec![model])).collect();
    for model in unserved {
        let key = |target: &&PlanTarget| {
            let count = shared.get(&target.id).map_or(0, Vec::len);
            (count, lag(target, model, published), target.id.clone())
        };
        let Some(target) = targets.iter().min_by_key(key) else { break };
        shared.entry(target.id.clone()).or_default().push(model.clone());
    }
    shared
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

/// Returns the targets of each model with their state, as input of [`wave`]. A target that several
/// models share stands there for each of them.
pub(crate) fn assigned_targets(
    targets: &[PlanTarget],
    assigned: &Assigned,
    published: &BTreeMap<Name, u64>,
) -> Vec<wave::Target> {
    let of_models = |target: &PlanTarget| {
        let models = assigned.get(&target.id).map(Vec::as_slice).unwrap_or_default();
        let of_model = |model: &Name| {
            let state = match &target.loading {
                Some(loading) if loading != model && models.contains(loading) => State::Paused,
                Some(_) => State::Loading(newest(model, published)),
                None => State::Idle,
            };
            let version = target.versions.get(model).copied().unwrap_or_default();
            wave::Target { id: target.id.clone(), model: model.clone(), version, state }
        };
        models.iter().map(of_model).collect::<Vec<_>>()
    };
    targets.iter().flat_map(of_models).collect()
}

/// Returns the loads that are due now, in the order of the targets' ids. Targets that the next step
/// can't use, two or more versions behind, load first. Of the others, half load each version.
pub(crate) fn due_loads(
    targets: &[PlanTarget],
    assigned: &Assigned,
    published: &BTreeMap<Name, u64>,
) -> Vec<DueLoad> {
    let loading = targets.iter().filter(|target| target.loading.is_some()).count();
    let room = wave::ceiling(targets.len()).saturating_sub(loading);
    let of_models = assigned_targets(targets, assigned, published);
    let backlog = Backlog::new(&of_models, |model| Some(newest(model, published)));
    backlog.loads(room, |next| (Reverse(next.lag), next.target.clone()))
}
