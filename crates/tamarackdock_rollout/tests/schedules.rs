//! Seeded schedules of one step with failing holders, engines, stores and
//! trainers. See `docs/design.md`, section 11.

mod simulation;

use assert_matches::assert_matches;
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use simulation::{Counts, Plan, Simulation};
use tamarackdock_rollout::request::{Error, Fields, MAX_PROMPT_BYTES, Request};
use tamarackdock_types::{ServiceName, TrainerName};

const SCHEDULES: u32 = 2000;
/// Number of events after each of which a schedule kills or pauses the holder.
const INTERRUPTION_POINTS: usize = 400;
const SEED: [u8; 32] = [6; 32];

fn plans() -> impl Strategy<Value = Plan> {
    let sizes = (1..7usize, 1..5u32, 1..40u32, 1..12usize);
    let faults = (any::<bool>(), 0..30u32, [1..200usize, 1..600usize, 1..1500usize]);
    (any::<u64>(), sizes, faults).prop_map(|(seed, sizes, faults)| Plan {
        seed,
        groups: sizes.0,
        group_size: sizes.1,
        max_tokens: sizes.2,
        max_running: sizes.3,
        hedged: faults.0,
        fault_percent: faults.1,
        interrupted_at: faults.2,
        faults_end_ms: 20_000,
    })
}

/// Guards against samples that are lost, delivered twice, changed, too old or
/// labelled with wrong versions, and against a step that does not complete after
/// the faults have ended.
#[test]
fn each_sample_arrives_once() {
    let config = Config {
        cases: SCHEDULES,
        failure_persistence: None,
        max_shrink_iters: 64,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let total = std::cell::RefCell::new(Counts::default());
    let outcome = runner.run(&plans(), |plan| {
        let mut simulation = Simulation::new(plan);
        simulation.run();
        let mut total = total.borrow_mut();
        total.holders += simulation.counts.holders;
        total.hedges += simulation.counts.hedges;
        total.resumes += simulation.counts.resumes;
        total.commits += simulation.counts.commits;
        total.accepted_commits += simulation.counts.accepted_commits;
        total.loads += simulation.counts.loads;
        Ok(())
    });
    println!("{SCHEDULES} schedules, seed {SEED:?}: {:?}", total.borrow());
    outcome.unwrap();
}

/// Guards against a state between two events from which a new holder can't
/// continue the step.
#[test]
fn holder_can_be_lost_at_every_point() {
    for event in 1..=INTERRUPTION_POINTS {
        let plan = Plan {
            seed: event as u64,
            groups: 4,
            group_size: 2,
            max_tokens: 12,
            max_running: 4,
            hedged: true,
            fault_percent: 5,
            interrupted_at: [event, 0, 0],
            faults_end_ms: 10_000,
        };
        Simulation::new(plan).run();
    }
}

fn run_without_faults(groups: usize, max_running: usize, max_tokens: u32) -> Counts {
    let plan = Plan {
        seed: 2,
        groups,
        group_size: 8,
        max_tokens,
        max_running,
        hedged: true,
        fault_percent: 0,
        interrupted_at: [0; 3],
        faults_end_ms: 0,
    };
    let mut simulation = Simulation::new(plan);
    simulation.run();
    simulation.check_order();
    println!("{} samples, seed 2: {:?}", groups * 8, simulation.counts);
    simulation.counts
}

/// Guards against writes to the table service whose number grows with that of
/// the samples.
#[test]
fn large_step_needs_few_writes() {
    let counts = run_without_faults(256, 11, 40);
    assert!(counts.end_ms > 200_000, "the step should take about 4 min: {counts:?}");
    assert!(counts.commits <= 64, "{counts:?}");
}

/// Guards against second attempts that each stay within their share of the
/// tokens but together exceed it.
#[test]
fn second_attempts_keep_to_their_share() {
    let counts = run_without_faults(32, 256, 200);
    assert!(counts.hedges > 0, "no second attempt started");
}

/// Guards against a request that needs more memory than a holder may use.
#[test]
fn requests_are_bounded() {
    let fields = |prompts: Vec<std::sync::Arc<str>>, group_size| Fields {
        trainer: TrainerName::new("t").unwrap(),
        step: 1,
        service: ServiceName::new("m").unwrap(),
        prompts,
        group_size,
        max_tokens: 8,
        staleness_bound: 1,
    };
    let long = "x".repeat(MAX_PROMPT_BYTES + 1);
    let longest = long[1..].into();
    assert!(Request::new(fields(vec![longest; 2], 2048)).is_ok());
    let many = Request::new(fields(vec!["x".into(); 4097], 1));
    assert_matches!(many, Err(Error::TooManySamples { samples: 4097 }));
    let overflow = Request::new(fields(vec!["x".into(); 2], u32::MAX));
    assert_matches!(overflow, Err(Error::TooManySamples { .. }));
    let long = Request::new(fields(vec!["x".into(), long.into()], 1));
    assert_matches!(long, Err(Error::PromptTooLong { group: 1, bytes: 1_048_577 }));
    assert_matches!(Request::new(fields(vec![], 1)), Err(Error::NoPrompts));
    assert_matches!(Request::new(fields(vec!["x".into()], 0)), Err(Error::EmptyGroup));
}
