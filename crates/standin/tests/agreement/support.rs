use std::{
    thread,
    time::{Duration, Instant},
};

use serde_json::Value;
use standin::{
    engine,
    world::{Options, World},
};

/// Seed of every test in this directory.
pub(crate) const SEED: u64 = 0xa9;
/// Longest wait before a test fails; the service guarantees no such time.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(20);
/// Time within which the withdrawal of a key, a data centre that is taken out and a new
/// version must take effect on all nodes (`docs/design.md`, promises 6, 10 and 16).
pub(crate) const PROPAGATION_BOUND: Duration = Duration::from_secs(3);

/// Starts nodes in the given data centres with one engine in each of `d1` and `d2`,
/// whose answers are as long as the caller allows.
pub(crate) fn world(nodes: &[&'static str]) -> World {
    println!("seed {SEED:#x}");
    let engine = engine::Options { min_tokens: 1_000_000, ..engine::Options::default() };
    let options = Options {
        seed: SEED,
        nodes: nodes.to_vec(),
        engines: vec![("d1", false), ("d2", false)],
        engine,
        ..Options::default()
    };
    World::spawn(options).unwrap()
}

/// Waits until a condition holds, and returns how long that took.
pub(crate) fn wait_until(what: &str, condition: impl Fn() -> bool) -> Duration {
    let begin = Instant::now();
    while !condition() {
        assert!(begin.elapsed() < TIMEOUT, "still waiting until {what}");
        thread::sleep(Duration::from_millis(2));
    }
    begin.elapsed()
}

/// Returns the newest configuration version that a node has.
pub(crate) fn version(world: &World, node: usize) -> u64 {
    world.send_operator_request(node, "GET", "/config", "").unwrap().body["version"]
        .as_u64()
        .unwrap()
}

/// Returns the configuration that is active on a node.
pub(crate) fn deployment(world: &World, node: usize) -> Value {
    world.send_operator_request(node, "GET", "/config", "").unwrap().body["deployment"].clone()
}

/// Returns whether a node may accept keys, as its debug state shows it.
pub(crate) fn key_status(world: &World, node: usize) -> String {
    let state = world.send_operator_request(node, "GET", "/debug/state", "").unwrap().body;
    state["reachability"]["verdict"].as_str().unwrap().into()
}
