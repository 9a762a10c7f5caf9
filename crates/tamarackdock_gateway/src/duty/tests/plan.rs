use std::collections::BTreeMap;

use proptest::prelude::*;

use crate::{
    deployment::Name,
    duty::plan::{PlanTarget, assign, due_loads, expected_demand},
};

type Numbers = BTreeMap<Name, u64>;

fn numbers(entries: &[(&str, u64)]) -> Numbers {
    entries.iter().map(|(name, number)| ((*name).into(), *number)).collect()
}

fn target(id: usize, a: u64, b: u64) -> PlanTarget {
    let id = format!("t{id:02}").as_str().into();
    PlanTarget { id, versions: numbers(&[("a", a), ("b", b)]), loading: None }
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
    let targets: Vec<PlanTarget> = (0..9).map(|id| target(id, 1, 1)).collect();
    let assigned = assign(&targets, &numbers(&[("a", 2_000), ("b", 1_000)]), &numbers(&[]));
    assert_eq!(counts(&assigned), [("a".into(), 6), ("b".into(), 3)].into());
}

/// Guards against a model that has no target because another one has nearly all of
/// the demand.
#[test]
fn a_model_with_little_demand_keeps_a_target() {
    let targets: Vec<PlanTarget> = (0..9).map(|id| target(id, 1, 1)).collect();
    let assigned = assign(&targets, &numbers(&[("a", 9_000), ("b", 1)]), &numbers(&[]));
    assert_eq!(counts(&assigned)["b"], 1);
}

/// Guards against targets that move to another model with each small change of demand,
/// which costs a load and interrupts running items.
#[test]
fn targets_stay_with_the_model_that_they_are_up_to_date_for() {
    let published = numbers(&[("a", 7), ("b", 7)]);
    let targets: Vec<PlanTarget> =
        (0..9).map(|id| if id < 5 { target(id, 7, 2) } else { target(id, 3, 6) }).collect();
    for work in [900, 1_000, 1_100, 1_300] {
        let assigned = assign(&targets, &numbers(&[("a", work), ("b", 1_000)]), &published);
        assert_eq!(counts(&assigned), [("a".into(), 5), ("b".into(), 4)].into(), "{work}");
    }
    let assigned = assign(&targets, &numbers(&[("a", 3_000), ("b", 1_000)]), &published);
    // The shares are 6.75 and 2.25, and a difference of less than 0.8 moves no target.
    assert_eq!(counts(&assigned), [("a".into(), 6), ("b".into(), 3)].into());
}

fn loads(targets: &[PlanTarget], published: &Numbers) -> Vec<(String, u64)> {
    let assigned = targets.iter().map(|target| (target.id.clone(), "a".into())).collect();
    let due = due_loads(targets, &assigned, published);
    due.iter().map(|due| (due.target.to_string(), due.version)).collect()
}

/// Guards against a new version that interrupts all targets of a model at once. A step
/// accepts the version before its own, so half of the targets can go on.
#[test]
fn half_of_the_targets_load_a_version() {
    let mut targets: Vec<PlanTarget> = (0..4).map(|id| target(id, 4, 0)).collect();
    let published = numbers(&[("a", 5)]);
    assert_eq!(loads(&targets, &published), [("t00".into(), 5), ("t01".into(), 5)]);
    targets[0].loading = Some("a".into());
    targets[1].versions.insert("a".into(), 5);
    assert_eq!(loads(&targets, &published), []);
}

/// Guards against targets that the next step can't use because more recent ones load
/// before them.
#[test]
fn targets_that_a_step_can_not_use_load_first() {
    let targets = [target(0, 4, 0), target(1, 3, 0), target(2, 2, 0), target(3, 5, 0)];
    let published = numbers(&[("a", 5)]);
    assert_eq!(loads(&targets, &published), [("t02".into(), 5), ("t01".into(), 5)]);
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
        let mut targets: Vec<PlanTarget> =
            versions.iter().enumerate().map(|(id, (a, b))| target(id, *a, *b)).collect();
        let demand = numbers(&[("a", work_a), ("b", work_b)]);
        let published = numbers(&[("a", 5), ("b", 5)]);
        let first = assign(&targets, &demand, &published);
        prop_assert_eq!(first.len(), targets.len());
        for target in &mut targets {
            target.loading = Some(first[&target.id].clone());
        }
        prop_assert_eq!(assign(&targets, &demand, &published), first);
    }
}

/// Guards against owners that each take all targets when their trainers request the first step at
/// the same time: they agree on the targets of each model, whichever jobs they know.
#[test]
fn models_without_a_job_keep_their_share_of_the_first_step() {
    let listed: [Name; 3] = ["a", "b", "c"].map(Into::into);
    let targets: Vec<PlanTarget> = (0..45).map(|id| target(id, 0, 0)).collect();
    let assigned = |known: &[(&str, u64)]| {
        let demand = expected_demand(numbers(known), listed.iter());
        assign(&targets, &demand, &numbers(&[]))
    };
    let all = assigned(&[("a", 300), ("b", 300), ("c", 300)]);
    assert_eq!(counts(&all), [("a".into(), 15), ("b".into(), 15), ("c".into(), 15)].into());
    assert_eq!(assigned(&[("a", 300)]), all);
    assert_eq!(assigned(&[("c", 200)]), all);
    assert!(assigned(&[]).is_empty());
}
