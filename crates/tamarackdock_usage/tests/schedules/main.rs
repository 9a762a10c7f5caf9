//! Seeded schedules of three counting nodes and several reporters with killed and paused
//! nodes, nodes wrongly announced as dead, store outages, and lost and late messages.

mod store;
mod world;

use std::cell::Cell;

use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const SCHEDULES: u32 = 2_000;
const SEED: [u8; 32] = *b"tamarackdock usage schedules 001";

/// Guards against a window that is reported with different figures, a count that is reported
/// twice, a count that is lost although its node did not die or its peer had a copy, and a
/// report that a new reporter does not finish.
#[test]
fn each_count_is_reported_once() {
    println!("seed {:?}", String::from_utf8_lossy(&SEED));
    let config = Config { cases: SCHEDULES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let totals = [const { Cell::new(0) }; 5];
    let outcome = TestRunner::new_with_rng(config, rng).run(&proptest::num::u64::ANY, |schedule| {
        let counts = world::World::new(schedule).run()?;
        totals.iter().zip(counts).for_each(|(total, count)| total.set(total.get() + count));
        Ok(())
    });
    println!(
        "{SCHEDULES} schedules; reports, repeated reports, corrections, kills, exact: {totals:?}"
    );
    outcome.unwrap();
    assert!(totals.iter().all(|total| total.get() > u64::from(SCHEDULES) / 10));
}
