//! Simulates seeded schedules of three processes that order targets, with drifting
//! clocks, pauses, restarts, partitions, store outages, and lost and late messages.

mod node;
mod receiver;
mod simulation;
mod store;

use std::cell::Cell;

use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const SCHEDULES: u32 = 3_000;
/// Each kind of event must occur more often than this to count as tested.
const MIN_EVENTS: u64 = 100;
const SEED: [u8; 32] = *b"tamarackdock spend schedules 001";

/// Guards against orders from two holders, orders based on a state that the holder
/// did not read, more targets than planned, a stop before the replacement runs, and
/// a plan that is never reached.
#[test]
fn orders_come_from_one_holder() {
    println!("seed {:?}", String::from_utf8_lossy(&SEED));
    let config = Config { cases: SCHEDULES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let totals = [const { Cell::new(0) }; 5];
    let outcome = TestRunner::new_with_rng(config, rng).run(&proptest::num::u64::ANY, |schedule| {
        let counts = simulation::Simulation::new(schedule).run()?;
        totals.iter().zip(counts).for_each(|(total, count)| total.set(total.get() + count));
        Ok(())
    });
    println!("{SCHEDULES} schedules; epochs, orders, repeated, stale, unavailable: {totals:?}");
    outcome.unwrap();
    assert!(totals.iter().all(|total| total.get() > MIN_EVENTS));
}
