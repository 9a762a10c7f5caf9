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

/// Guards against two holders with valid permits at the same time, an order of an earlier epoch
/// that reaches a receiver after one of a later epoch, an epoch used twice, and a lease that
/// nobody holds after the faults have ended.
#[test]
fn one_holder_at_a_time() {
    println!("seed {:?}", String::from_utf8_lossy(&SEED));
    let config = Config { cases: SCHEDULES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let totals = [const { Cell::new(0) }; 4];
    let outcome = TestRunner::new_with_rng(config, rng).run(&proptest::num::u64::ANY, |schedule| {
        let counts = world::World::new(schedule).run()?;
        totals.iter().zip(counts).for_each(|(total, count)| total.set(total.get() + count));
        Ok(())
    });
    println!("{SCHEDULES} schedules; acquired, orders, recorded orders, stale orders: {totals:?}");
    outcome.unwrap();
    assert!(totals.iter().all(|total| total.get() > u64::from(SCHEDULES) / 10));
}
