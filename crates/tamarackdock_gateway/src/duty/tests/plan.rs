use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;

use crate::{
    deployment::Name,
    duty::plan::{self, Assigned, PlanTarget, due_loads, expected_demand},
};

type Numbers = BTreeMap<Name, u64>;

/// Assigns targets while all models have open jobs.
fn assign(targets: &[PlanTarget], demand: &Numbers, published: &Numbers) -> Assigned {
    plan::assign(targets, demand, &demand.keys().cloned().collect(), published)
}

fn numbers(entries: &[(&str, u64)]) -> Numbers {
    entries.iter().map(|(name, number)| ((*name).into(), *number)).collect()
}

fn target(id: usize, a: u64, b: u64) -> PlanTarget {
    let id = format!("t{id:02}").as_str().into();
    PlanTarget { id, versions: numbers(&[("a", a), ("b", b)]), loading: None }
}

/// Returns the number of targets of each model.
fn counts(assigned: &Assigned) -> BTreeMap<String, usize> {
    assigned.values().flatten().fold(BTreeMap::new(), |mut counts, model| {
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
    let assigned = targets.iter().map(|target| (target.id.clone(), vec!["a".into()])).collect();
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
            target.loading = Some(first[&target.id][0].clone());
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

/// Guards against a model with little demand that has no target and gets none, as no other model
/// has a whole target more than its share. The other model loses one of its eleven targets, 9% of
/// its slots, and this one goes from no slots to those of one target, for a single load.
#[test]
fn a_model_that_lost_its_last_target_gets_another_one() {
    let published = numbers(&[("a", 5), ("b", 5)]);
    // The only target of `b` is gone.
    let mut targets: Vec<PlanTarget> = (0..11).map(|id| target(id, 5, 2)).collect();
    // The target that is the furthest behind for `a` is the one that `a` needs least.
    targets[3] = target(3, 4, 2);
    let demand = numbers(&[("a", 9_600), ("b", 400)]);
    let assigned = assign(&targets, &demand, &published);
    assert_eq!(counts(&assigned), [("a".into(), 10), ("b".into(), 1)].into());
    assert_eq!(assigned["t03"], ["b".into()]);
    let due = due_loads(&targets, &assigned, &published);
    assert_eq!(due.len(), 1, "{due:?}");
    assert_eq!((&*due[0].target, &*due[0].model, due[0].version), ("t03", "b", 5));
}

/// Guards against the same where the share that is too large is spread over several models, and
/// where nothing was lost: of three models, the two with little demand had one target together.
#[test]
fn models_with_little_demand_have_a_target_each() {
    let published = numbers(&[("a", 3), ("b", 3), ("c", 3)]);
    let fresh = |id: usize, model: &str| {
        let mut target = target(id, 1, 1);
        target.versions = numbers(&[("a", 1), ("b", 1), ("c", 1), (model, 3)]);
        target
    };
    let targets: Vec<PlanTarget> =
        (0..12).map(|id| fresh(id, if id == 0 { "b" } else { "a" })).collect();
    let assigned = assign(&targets, &numbers(&[("a", 960), ("b", 40), ("c", 40)]), &published);
    let expected = [("a".into(), 10), ("b".into(), 1), ("c".into(), 1)];
    assert_eq!(counts(&assigned), expected.into());

    let targets: Vec<PlanTarget> =
        (0..8).map(|id| fresh(id, if id < 4 { "a" } else { "b" })).collect();
    let assigned = assign(&targets, &numbers(&[("a", 500), ("b", 500), ("c", 1)]), &published);
    assert_eq!(counts(&assigned)["c"], 1);
}

/// Guards against a target that a trainer without open jobs keeps from one that has some.
#[test]
fn a_model_without_open_jobs_gives_its_last_target() {
    let published = numbers(&[("a", 5), ("b", 5)]);
    let (targets, demand) = ([target(0, 5, 2)], numbers(&[("a", 100), ("b", 100)]));
    let open: BTreeSet<Name> = ["b".into()].into();
    let assigned = plan::assign(&targets, &demand, &open, &published);
    assert_eq!(assigned["t00"], ["b".into()]);
}

/// Guards against models that take the only target from each other in turn. They share it, and the
/// target loads for each of them.
#[test]
fn more_models_than_targets_share_them() {
    let published = numbers(&[("a", 5), ("b", 5)]);
    let mut targets = [target(0, 5, 2)];
    let demand = numbers(&[("a", 900), ("b", 100)]);
    let assigned = assign(&targets, &demand, &published);
    assert_eq!(assigned["t00"], ["a".into(), "b".into()]);
    let due = due_loads(&targets, &assigned, &published);
    assert_eq!(due.iter().map(|due| (&*due.model, due.version)).collect::<Vec<_>>(), [("b", 5)]);
    targets[0].loading = Some("b".into());
    let loading = assign(&targets, &demand, &published);
    assert_eq!(loading["t00"].len(), 2);
    assert_eq!(due_loads(&targets, &loading, &published), []);
    targets[0] = target(0, 5, 5);
    let assigned = assign(&targets, &demand, &published);
    assert_eq!(assigned["t00"].len(), 2);
    assert_eq!(due_loads(&targets, &assigned, &published), []);
}

proptest! {
    /// Guards against an open model without a target, whatever took its last one, and against
    /// loads without end: while no version is published, each target loads each model once at most.
    #[test]
    fn each_open_model_has_a_target_and_loads_end(
        versions in prop::collection::vec([1_u64..6, 1_u64..6, 1_u64..6, 1_u64..6], 1..14),
        loading in prop::collection::vec(prop::option::weighted(0.2, 0_usize..4), 14),
        demand in [0_u64..5_000, 1_u64..5_000, 1_u64..50, 1_u64..5],
        is_open in [any::<bool>(), any::<bool>(), any::<bool>(), any::<bool>()],
    ) {
        let models: [Name; 4] = ["a", "b", "c", "d"].map(Into::into);
        let published: Numbers = models.iter().map(|model| (model.clone(), 5)).collect();
        let demand: Numbers = models.iter().cloned().zip(demand).collect();
        let open: BTreeSet<Name> =
            models.iter().zip(is_open).filter(|(_, is_open)| *is_open).map(|(m, _)| m.clone()).collect();
        let mut targets: Vec<PlanTarget> = versions.iter().zip(loading).enumerate().map(|(id, (versions, loading))| {
            let mut target = target(id, 0, 0);
            target.versions = models.iter().cloned().zip(*versions).collect();
            target.loading = loading.map(|model| models[model].clone());
            target
        }).collect();
        for load in 0..=targets.len() * models.len() {
            let assigned = plan::assign(&targets, &demand, &open, &published);
            for model in &open {
                prop_assert!(counts(&assigned).contains_key(&**model), "{model}: {assigned:?}");
            }
            for target in &mut targets {
                if let Some(model) = target.loading.take() {
                    target.versions.insert(model, 5);
                }
            }
            let assigned = plan::assign(&targets, &demand, &open, &published);
            let Some(due) = due_loads(&targets, &assigned, &published).into_iter().next() else {
                break;
            };
            prop_assert!(load < targets.len() * models.len(), "loads do not end: {due:?}");
            let target = targets.iter_mut().find(|target| target.id == due.target);
            target.unwrap().loading = Some(due.model);
        }
    }
}
