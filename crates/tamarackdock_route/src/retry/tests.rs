use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

use super::{Budget, RESERVE};

const SEED: [u8; 32] = [43; 32];
const SCHEDULES: u32 = 2_000;

/// Guards against a retry storm: apart from the reserve of a new budget, attempts
/// per call stay under 1.1 whatever fails.
#[test]
fn attempts_per_call_stay_under_the_bound() {
    println!("seed {SEED:?}, {SCHEDULES} schedules");
    let config = Config { failure_persistence: None, ..Config::with_cases(SCHEDULES) };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let retries = std::cell::Cell::new(0_u64);
    // Each part of a schedule has a number of calls and the retries that each asks for.
    let schedule = vec((1_u16..200, 0_u16..5), 1..12);
    let outcome = runner.run(&schedule, |parts| {
        let mut budget = Budget::new(0.1);
        let (mut calls, mut attempts) = (0_u64, 0_u64);
        for (count, failures) in parts {
            for _ in 0..count {
                budget.record_call();
                calls += 1;
                attempts += 1 + (0..failures).take_while(|_| budget.try_retry()).count() as u64;
                prop_assert!(
                    (attempts - RESERVE.min(attempts)) * 10 < calls * 11,
                    "{attempts} attempts of {calls} calls"
                );
            }
        }
        retries.set(retries.get() + attempts - calls);
        Ok(())
    });
    outcome.unwrap_or_else(|error| panic!("{error}"));
    println!("{} retries", retries.get());
    assert!(retries.get() > u64::from(SCHEDULES), "retries are hardly ever allowed");
}
