use std::{
    thread,
    time::{Duration, Instant},
};

use standin::world::{Options, World};

/// Seed of every test in this directory.
pub(crate) const SEED: u64 = 0xa9;
/// Passing this time only fails a test.
pub(crate) const DEADLINE: Duration = Duration::from_secs(20);

/// Starts nodes in the given data centres with one engine in each of `d1` and `d2`.
pub(crate) fn world(nodes: &[&'static str]) -> World {
    println!("seed {SEED:#x}");
    let engines = vec![("d1", false), ("d2", false)];
    let options = Options { seed: SEED, nodes: nodes.to_vec(), engines, ..Options::default() };
    World::spawn(options).unwrap()
}

/// Waits until a condition holds and returns how long that took.
pub(crate) fn until(what: &str, condition: impl Fn() -> bool) -> Duration {
    let begin = Instant::now();
    while !condition() {
        assert!(begin.elapsed() < DEADLINE, "still waiting until {what}");
        thread::sleep(Duration::from_millis(5));
    }
    begin.elapsed()
}
