use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use standin::{
    app::{self, App},
    engine,
    process::Cluster,
    trainer::{self, Trainer, WeightVersions},
    world,
};
use tamarackdock_types::weight::Version;

/// Seed of every test in this directory.
pub(crate) const SEED: u64 = 0x5eed;
/// Time after which a test gives up waiting. It is not a bound that a promise states.
pub(crate) const DEADLINE: Duration = Duration::from_mins(1);
/// Number of samples in a step.
pub(crate) const SAMPLES: u64 = 64;

const POLL: Duration = Duration::from_millis(1);
const GROUP_SIZE: usize = 4;

/// Returns a small deployment with slow engines, so that a step takes more than a
/// second.
pub(crate) fn options() -> world::Options {
    let engine = engine::Options {
        capacity: 4,
        token_interval: Duration::from_millis(15),
        ..engine::Options::default()
    };
    world::Options { seed: SEED, engine, ..world::Options::default() }
}

/// Starts the processes of a deployment, and prints the seed so that a report of a
/// failure shows it.
pub(crate) fn start_cluster(options: world::Options) -> Cluster {
    println!("seed {SEED:#x}");
    Cluster::spawn(Path::new(env!("CARGO_BIN_EXE_tamarackdock")), options).unwrap()
}

/// Starts the trainer `t1`.
pub(crate) fn start_trainer(cluster: &Cluster, steps: u64) -> Trainer {
    let options = trainer::Options {
        name: "t1".into(),
        key: "t1-key".into(),
        nodes: cluster.caller_addresses(),
        seed: SEED,
        steps,
        groups: usize::try_from(SAMPLES).unwrap() / GROUP_SIZE,
        group_size: GROUP_SIZE,
        reread_percent: 50,
        ..trainer::Options::default()
    };
    Trainer::spawn(options, WeightVersions::new(Version(1))).unwrap()
}

/// Returns the options of an app that makes calls until it is stopped.
pub(crate) fn app_options(cluster: &Cluster, stream: bool) -> app::Options {
    app::Options {
        name: if stream { "streaming" } else { "whole" }.into(),
        key: "shop-key".into(),
        nodes: cluster.caller_addresses(),
        questions: u64::MAX,
        callers: 2,
        pause: Duration::from_millis(10),
        stream,
        ..app::Options::default()
    }
}

/// Starts an app that makes calls until it is stopped.
pub(crate) fn start_app(cluster: &Cluster, stream: bool) -> App {
    App::spawn(app_options(cluster, stream)).unwrap()
}

/// Waits until a condition holds, for [`DEADLINE`] at most.
pub(crate) fn wait_until(what: &str, condition: impl Fn() -> bool) {
    wait_until_within(DEADLINE, what, condition);
}

/// Waits until a condition holds, at most for a bound that a promise states.
pub(crate) fn wait_until_within(bound: Duration, what: &str, condition: impl Fn() -> bool) {
    let begin = Instant::now();
    while !condition() {
        assert!(begin.elapsed() < bound, "still waiting until {what}");
        thread::sleep(POLL);
    }
}

/// Waits until a trainer has read a total number of samples.
pub(crate) fn wait_for_samples(trainer: &Trainer, samples: u64) {
    wait_until(&format!("{samples} samples are read"), || {
        trainer.read(|records| records.samples >= samples)
    });
}

/// Waits until a trainer has finished, and checks that each slot of each step was
/// delivered exactly once.
pub(crate) fn assert_exactly_once(trainer: &Trainer, steps: u64) {
    wait_until("the trainer has all steps", || trainer.is_finished());
    trainer.read(|records| {
        assert_eq!(records.violations, []);
        assert_eq!((records.steps, records.samples), (steps, steps * SAMPLES));
    });
}

/// Checks that an app got only complete answers to its own calls.
pub(crate) fn assert_own_answers(app: &App) {
    app.read(|records| {
        assert!(records.answered > 0, "the app got no answer at all");
        assert_eq!(records.wrong_text, Vec::<String>::new());
        assert_eq!(records.incomplete, Vec::<String>::new());
    });
}

/// Checks that no call of an app was refused or broken off.
pub(crate) fn assert_none_failed(app: &App) {
    assert_own_answers(app);
    app.read(|records| {
        assert_eq!(records.refusals, std::collections::BTreeMap::new());
        assert_eq!(records.lost_connections, 0, "connections broke");
    });
}
