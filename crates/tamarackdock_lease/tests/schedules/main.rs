//! Seeded schedules of three candidates with clock drift, pauses, restarts,
//! partitions, store outages, and lost and late messages.

mod node;
mod store;
#[path = "../support/mod.rs"]
mod support;
mod world;

use std::cell::Cell;

use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const SCHEDULES: u32 = 2_000;
const SEED: [u8; 32] = *b"tamarackdock lease schedules 001";

/// Plays all schedules and returns the sums of what they counted.
fn play(exclusive: bool) -> [u64; 5] {
    println!("seed {:?}", String::from_utf8_lossy(&SEED));
    let config = Config { cases: SCHEDULES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let totals = [const { Cell::new(0) }; 5];
    let outcome = TestRunner::new_with_rng(config, rng).run(&proptest::num::u64::ANY, |schedule| {
        let counts = world::World::new(schedule, exclusive).run()?;
        totals.iter().zip(counts).for_each(|(total, count)| total.set(total.get() + count));
        Ok(())
    });
    println!(
        "{SCHEDULES} schedules; acquired, orders, recorded orders, stale orders, taken by a \
         restarted holder: {totals:?}"
    );
    outcome.unwrap();
    totals.map(Cell::into_inner)
}

/// Guards against two holders with valid permits at the same time, an order of an earlier epoch
/// that reaches a receiver after one of a later epoch, an epoch used twice, and a lease that
/// nobody holds after the faults have ended.
#[test]
fn one_holder_at_a_time() {
    let totals = play(false);
    assert!(totals[..4].iter().all(|total| *total > u64::from(SCHEDULES) / 10));
}

/// Guards against the same where restarted holders take their lease without waiting for it to
/// expire, and machines run on beside others that have their names.
#[test]
fn one_holder_at_a_time_with_restarted_holders() {
    let totals = play(true);
    assert!(totals.iter().all(|total| *total > u64::from(SCHEDULES) / 10));
}
