use std::collections::BTreeMap;

use proptest::prelude::*;

use crate::{
    deployment::Name,
    duty::plan::{Engine, assign, due_loads},
};

type Numbers = BTreeMap<Name, u64>;

fn numbers(entries: &[(&str, u64)]) -> Numbers {
    entries.iter().map(|(name, number)| ((*name).into(), *number)).collect()
}

fn engine(id: usize, a: u64, b: u64) -> Engine {
    let id = format!("t{id:02}").as_str().into();
    Engine { id, versions: numbers(&[("a", a), ("b", b)]), loading: None }
}

fn counts(assigned: &BTreeMap<Name, Name>) -> BTreeMap<String, usize> {
    assigned.values().fold(BTreeMap::new(), |mut counts, model| {
        *counts.entry(model.to_string()).or_default() += 1;
        counts
    })
}

/// Guards against models whose share of the targets does not follow their demand.
#[test]
fn targets_are_shared_by_demand() {
    let engines: Vec<Engine> = (0..9).map(|id| engine(id, 1, 1)).collect();
    let assigned = assign(&engines, &numbers(&[("a", 2_000), ("b", 1_000)]), &numbers(&[]));
    assert_eq!(counts(&assigned), [("a".into(), 6), ("b".into(), 3)].into());
}

/// Guards against a model that has no target because another one has nearly all of
/// the demand.
#[test]
fn a_model_with_little_demand_keeps_a_target() {
    let engines: Vec<Engine> = (0..9).map(|id| engine(id, 1, 1)).collect();
    let assigned = assign(&engines, &numbers(&[("a", 9_000), ("b", 1)]), &numbers(&[]));
    assert_eq!(counts(&assigned)["b"], 1);
}

/// Guards against targets that move to another model with each small change of demand,
/// which costs a load and interrupts running items.
#[test]
fn targets_stay_with_the_model_that_they_are_up_to_date_for() {
    let published = numbers(&[("a", 7), ("b", 7)]);
    let engines: Vec<Engine> =
        (0..9).map(|id| if id < 5 { engine(id, 7, 2) } else { engine(id, 3, 6) }).collect();
    for work in [900, 1_000, 1_100, 1_300] {
        let assigned = assign(&engines, &numbers(&[("a", work), ("b", 1_000)]), &published);
        assert_eq!(counts(&assigned), [("a".into(), 5), ("b".into(), 4)].into(), "{work}");
    }
    let assigned = assign(&engines, &numbers(&[("a", 3_000), ("b", 1_000)]), &published);
    // The shares are 6.75 and 2.25, and a difference of less than 0.8 moves no target.
    assert_eq!(counts(&assigned), [("a".into(), 6), ("b".into(), 3)].into());
}

fn loads(engines: &[Engine], published: &Numbers) -> Vec<(String, u64)> {
    let assigned = engines.iter().map(|engine| (engine.id.clone(), "a".into())).collect();
    let due = due_loads(engines, &assigned, published);
    due.iter().map(|due| (due.target.to_string(), due.version)).collect()
}

/// Guards against a new version that interrupts all targets of a model at once. A step
/// accepts the version before its own, so half of the targets can go on.
#[test]
fn half_of_the_targets_load_a_version() {
    let mut engines: Vec<Engine> = (0..4).map(|id| engine(id, 4, 0)).collect();
    let published = numbers(&[("a", 5)]);
    assert_eq!(loads(&engines, &published), [("t00".into(), 5), ("t01".into(), 5)]);
    engines[0].loading = Some("a".into());
    engines[1].versions.insert("a".into(), 5);
    assert_eq!(loads(&engines, &published), []);
}

/// Guards against targets that the next step can't use because more recent ones load
/// before them.
#[test]
fn targets_that_a_step_can_not_use_load_first() {
    let engines = [engine(0, 4, 0), engine(1, 3, 0), engine(2, 2, 0), engine(3, 5, 0)];
    let published = numbers(&[("a", 5)]);
    assert_eq!(loads(&engines, &published), [("t02".into(), 5), ("t01".into(), 5)]);
}

proptest! {
    /// Guards against plans that never become stable: with unchanged inputs, a plan that
    /// was carried out is not changed again.
    #[test]
    fn plans_become_stable(
        versions in prop::collection::vec((1_u64..6, 1_u64..6), 1..20),
        work_a in 1_u64..5_000,
        work_b in 1_u64..5_000,
    ) {
        let mut engines: Vec<Engine> =
            versions.iter().enumerate().map(|(id, (a, b))| engine(id, *a, *b)).collect();
        let demand = numbers(&[("a", work_a), ("b", work_b)]);
        let published = numbers(&[("a", 5), ("b", 5)]);
        let first = assign(&engines, &demand, &published);
        prop_assert_eq!(first.len(), engines.len());
        for engine in &mut engines {
            engine.loading = Some(first[&engine.id].clone());
        }
        prop_assert_eq!(assign(&engines, &demand, &published), first);
    }
}
