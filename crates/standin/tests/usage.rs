//! Runs nodes on stand-ins and compares the usage reports with the engines' own counts.

mod support;

use bytes::Bytes;
use serde_json::Value;
use standin::{
    app::{self, App},
    world::{self, World},
};
use support::{SEED, until};

fn world() -> World {
    println!("seed {SEED:#x}");
    World::spawn(world::Options { seed: SEED, ..world::Options::default() }).unwrap()
}

/// Asks all questions through the first `nodes` nodes and waits for the answers.
fn ask(world: &World, nodes: usize, questions: u64) {
    let nodes = world.nodes()[..nodes].to_vec();
    let (name, key) = ("shop".into(), "shop-key".into());
    let options =
        app::Options { name, key, nodes, questions, callers: 4, ..app::Options::default() };
    let app = App::spawn(options).unwrap();
    until("all questions are answered", || app.is_finished().then_some(()));
    app.read(|records| assert_eq!(records.answered, records.asked));
}

fn sealed(world: &World) -> Option<(u64, String)> {
    let state = world.platform.state();
    state.table.scan("usage/").into_iter().find_map(|row| {
        let window = row.key.split('/').nth(1)?.parse().ok()?;
        let value: Value = serde_json::from_str(&row.value).ok()?;
        Some((window, value["state"]["sealed"]["report"].as_str()?.to_owned()))
    })
}

/// A node that is killed may lose the counts of its last 200 ms.
fn is_flushed(world: &World, node: usize) -> Option<()> {
    world.debug_state(node)?["usage"]["is_flushed"].as_bool()?.then_some(())
}

fn check(world: &World) {
    world.shut_down();
    assert_eq!(world.contradicted_windows(), Vec::<u64>::new());
    assert_eq!(world.reported_tokens(), world.generated_tokens());
}

/// Guards against a second seal: a new holder that finds a sealed window must
/// send the bytes that the killed holder sealed.
#[test]
fn holder_killed_between_seal_and_send() {
    let mut world = world();
    let (window, report) = until("a window with usage is sealed", || {
        ask(&world, 3, 5);
        let sealed = sealed(&world);
        let is_empty = sealed.as_ref().is_some_and(|(_, report)| !report.contains("tokens"));
        // Empty windows before the first usage are let through.
        world.platform.state().faults.reports_down = !is_empty;
        sealed.filter(|_| !is_empty)
    });
    for node in 0..3 {
        until("all counts are in the table", || is_flushed(&world, node));
    }
    let (holder, epoch) = world.holder("usage/0").unwrap();
    world.hosts[holder].kill();
    assert!(!world.platform.state().reports.contains_key(&window));
    until("another node holds the lease", || world.holder("usage/0").filter(|(_, e)| *e > epoch));
    ask_of_others(&world, holder);
    world.platform.state().faults.reports_down = false;
    until("the window is reported", || world.platform.state().reports.get(&window).map(|_| ()));
    check(&world);
    let state = world.platform.state();
    assert!(state.reports[&window].iter().all(|received| received == report.as_bytes()));
    let value: Value = serde_json::from_str(&report).unwrap();
    assert_eq!(value["epoch"].as_u64(), Some(epoch));
}

/// Makes the figures grow after the seal, so that a second seal would differ.
fn ask_of_others(world: &World, killed: usize) {
    let mut nodes = world.nodes();
    nodes.remove(killed);
    let options = app::Options { key: "shop-key".into(), nodes, ..app::Options::default() };
    let app = App::spawn(app::Options { questions: 5, ..options }).unwrap();
    until("all questions are answered", || app.is_finished().then_some(()));
}

/// Guards against counts that are added twice or dropped when a commit or a
/// report takes effect and its response is lost, and against a wrong metric.
#[test]
fn store_loses_responses() {
    let world = world();
    world.platform.state().faults.lose_share = 0.3;
    until("responses are lost and two windows with usage are reported", || {
        ask(&world, 3, 5);
        let state = world.platform.state();
        let has_usage = |report: &Bytes| report.windows(6).any(|part| part == b"tokens");
        let reported = state.reports.values().filter(|received| has_usage(&received[0])).count();
        (state.faults.lost > 0 && reported >= 2).then_some(())
    });
    world.platform.state().faults.lose_share = 0.0;
    let counted = (0..3).map(|node| world.metric(node, "tamarackdock_usage_tokens_total").unwrap());
    assert_eq!(counted.sum::<u64>(), world.generated_tokens());
    check(&world);
}

/// Guards against the loss of counts with a node that is killed before its flush.
#[test]
fn node_killed_before_flush() {
    let mut world = world();
    world.platform.state().faults.table_down = true;
    ask(&world, 1, 10);
    let generated = world.generated_tokens();
    until("a peer holds copies of all counts", || {
        let state = world.debug_state(1)?;
        let copies = state["usage"]["copies"].as_array()?.iter();
        let tokens: u64 = copies.filter_map(|copy| copy["tokens"].as_u64()).sum();
        (tokens == generated).then_some(())
    });
    world.hosts[0].kill();
    world.platform.state().faults.table_down = false;
    check(&world);
}
