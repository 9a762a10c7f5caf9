use std::time::Duration;

use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use tamarackdock_config::deployment::{Class, Role};
use tamarackdock_types::{DataCentreName, ServiceName, TargetName};

use super::{Affinity, Call, Policy, RoundRobin};
use crate::{Key, Spec, State, table::Table};

const SEED: [u8; 32] = [44; 32];
const SCHEDULES: u32 = 1_500;

fn data_centre(index: usize) -> DataCentreName {
    DataCentreName::new(&format!("d{}", index % 3)).expect("a valid name")
}

fn table(capacities: &[u32]) -> (Table, Vec<Key>) {
    let mut table = Table::default();
    let insert = |(index, capacity): (usize, &u32)| {
        let key = table.insert(Spec {
            name: TargetName::new(&format!("t{index}")).expect("a valid name"),
            service: ServiceName::new("m").expect("a valid name"),
            data_centre: data_centre(index),
            class: Class::Ordinary,
            role: Role::App,
            capacity: *capacity,
            cold_capacity: 1,
        });
        table.set_state(key, State::Warm);
        key
    };
    let keys = capacities.iter().enumerate().map(insert).collect();
    (table, keys)
}

/// Guards against a popular prefix that overloads its target, against a choice
/// of tried, full, cold or leaving targets, and against calls that find no
/// target although one is free.
#[test]
fn choices_keep_the_load_bound() {
    println!("seed {SEED:?}, {SCHEDULES} schedules");
    let config = Config { failure_persistence: None, ..Config::with_cases(SCHEDULES) };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let step = (0_u64..4, 0_usize..16, 0_u8..8);
    let schedule = (vec(1_u32..20, 1..16), vec(step, 1..150), any::<bool>());
    let outcome = runner.run(&schedule, |(capacities, steps, is_baseline)| {
        let (mut table, keys) = table(&capacities);
        let service = ServiceName::new("m").expect("a valid name");
        let own_data_centre = data_centre(0);
        let mut policy: Box<dyn Policy> =
            if is_baseline { Box::new(RoundRobin::default()) } else { Box::new(Affinity) };
        let mut running = Vec::new();
        for (prefix, pick, action) in steps {
            let picked = keys[pick % keys.len()];
            match action {
                0 if !running.is_empty() => {
                    table.finish(running.swap_remove(pick % running.len()), None);
                }
                1 => table.set_state(picked, State::Leaving),
                2 => table.set_state(picked, State::Cold),
                3 => table.set_state(picked, State::Warm),
                _ => {}
            }
            let tried = [picked];
            let failed_data_centres = [data_centre(pick + 1)];
            let call = Call {
                service: &service,
                role: None,
                prefix,
                own_data_centre: &own_data_centre,
                tried: if action == 4 { &tried } else { &[] },
                tried_data_centres: if action == 5 { &failed_data_centres } else { &[] },
            };
            let candidates: Vec<_> = call.candidates(&table).collect();
            let calls: u32 = candidates.iter().map(|(_, target)| target.calls()).sum();
            let limits: u32 = candidates.iter().map(|(_, target)| target.limit()).sum();
            let Some(key) = policy.choose(&table, &call) else {
                prop_assert!(candidates.is_empty(), "a free target is not chosen");
                continue;
            };
            let target = table.get(key).expect("a known target");
            prop_assert_eq!(target.state, State::Warm);
            prop_assert!(target.calls() < target.limit());
            prop_assert!(!call.tried.contains(&key));
            prop_assert!(!call.tried_data_centres.contains(&target.spec.data_centre));
            let bound = (1.25 * f64::from(calls + 1) * f64::from(target.limit())
                / f64::from(limits))
            .ceil();
            if !is_baseline {
                prop_assert!(f64::from(target.calls() + 1) <= bound, "above {bound}");
            }
            table.start(key);
            running.push(key);
        }
        Ok(())
    });
    outcome.unwrap_or_else(|error| panic!("{error}"));
}

/// Guards against prefixes that move away from their cache when another target
/// goes out, and against calls that leave the data centre without need.
#[test]
fn affinity_is_stable_and_prefers_home() {
    let (mut table, keys) = table(&[16; 12]);
    let service = ServiceName::new("m").expect("a valid name");
    let (mut at_home, mut moved) = (0, 0);
    for prefix in 0..600 {
        let own_data_centre = data_centre(0);
        let call = Call {
            service: &service,
            role: None,
            prefix,
            own_data_centre: &own_data_centre,
            tried: &[],
            tried_data_centres: &[],
        };
        let before = Affinity.choose(&table, &call);
        assert_eq!(Affinity.choose(&table, &call), before);
        let chosen = table.get(before.expect("a free target")).expect("a known target");
        at_home += u32::from(chosen.spec.data_centre == own_data_centre);
        table.set_state(keys[11], State::Out);
        moved += u32::from(Affinity.choose(&table, &call) != before);
        table.set_state(keys[11], State::Warm);
    }
    println!("{at_home} of 600 at home, {moved} moved without one of 12 targets");
    // With two choices among three data centres, 1 - (2/3)^2 = 56 % of the prefixes
    // have one in their own data centre.
    assert!(at_home > 300, "{at_home} of 600 at home");
    assert!(moved < 100, "{moved} of 600 moved, two choices of 12 are 100");
}

/// Guards against fast targets that count as cold because the scheduler delays a
/// few of their responses by some milliseconds.
#[test]
fn small_delays_of_a_fast_target_are_no_cold_start() {
    let (mut table, keys) = table(&[16]);
    for millis in [0; 20].into_iter().chain([5; 20]) {
        table.start(keys[0]);
        table.finish(keys[0], Some(Duration::from_millis(millis)));
    }
    assert_eq!(table.get(keys[0]).expect("a known target").state, State::Warm);
}

/// Guards against a target that keeps its full load after a restart or a flushed
/// cache has made it cold, and against reports whose lag hides the node's own calls.
#[test]
fn warm_targets_that_answer_as_cold_are_cold_at_once() {
    let (mut table, keys) = table(&[16; 3]);
    let state = |table: &Table, index: usize| table.get(keys[index]).expect("known").state;
    table.report(keys[0], "a", true, 0);
    table.report(keys[0], "b", true, 0);
    table.report(keys[1], "a", false, 0);
    for millis in [30; 8].into_iter().chain([91; 4]) {
        assert_eq!(state(&table, 2), State::Warm);
        table.start(keys[2]);
        table.finish(keys[2], Some(Duration::from_millis(millis)));
    }
    for key in &keys {
        let target = table.get(*key).expect("a known target");
        assert_eq!((target.state, target.limit()), (State::Cold, 0), "{}", target.spec.name);
    }
    table.start(keys[0]);
    table.report(keys[0], "b", true, 5);
    table.start(keys[0]);
    assert_eq!(table.get(keys[0]).expect("known").load.estimate(), 6);
}
