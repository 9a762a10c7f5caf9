//! Runs nodes with stand-ins and compares the usage reports with the engines' own counts.

mod support;

use bytes::Bytes;
use serde_json::Value;
use standin::{
    app::{self, App},
    world::{self, World},
};
use support::{SEED, wait_until};

fn world() -> World {
    println!("seed {SEED:#x}");
    World::spawn(world::Options { seed: SEED, ..world::Options::default() }).unwrap()
}

/// Makes the calls of an app through the first `nodes` nodes and waits for the answers.
fn ask(world: &World, nodes: usize, questions: u64) {
    let nodes = world.caller_addresses()[..nodes].to_vec();
    let (name, key) = ("shop".into(), "shop-key".into());
    let options =
        app::Options { name, key, nodes, questions, callers: 4, ..app::Options::default() };
    let app = App::spawn(options).unwrap();
    wait_until("all questions are answered", || app.is_finished().then_some(()));
    app.read(|records| assert_eq!(records.answered, records.asked));
}

/// Returns the first usage window that is sealed in the table, and its report.
fn sealed_window(world: &World) -> Option<(u64, String)> {
    let state = world.platform.state();
    state.table.scan("usage/").into_iter().find_map(|row| {
        let window = row.key.split('/').nth(1)?.parse().ok()?;
        let value: Value = serde_json::from_str(&row.value).ok()?;
        Some((window, value["state"]["sealed"]["report"].as_str()?.to_owned()))
    })
}

/// Returns `Some` if all counts of a node are in the table. Tests wait for it before a
/// kill, which may lose the counts of the last 200 ms.
fn is_flushed(world: &World, node: usize) -> Option<()> {
    world.debug_state(node)?["usage"]["is_flushed"].as_bool()?.then_some(())
}

/// Shuts the nodes down, and checks that each window was reported with one content and
/// that all reports together have the tokens that the engines generated.
fn check_reports(world: &World) {
    world.shut_down();
    assert_eq!(world.conflicting_windows(), Vec::<u64>::new());
    assert_eq!(world.reported_tokens(), world.generated_tokens());
}

/// Guards against a window that is sealed twice with different contents. The lease
/// holder is killed between seal and report; the next holder must send the bytes that
/// were sealed.
#[test]
fn holder_killed_between_seal_and_send() {
    let mut world = world();
    let (window, report) = wait_until("a window with usage is sealed", || {
        ask(&world, 3, 5);
        let sealed = sealed_window(&world);
        let is_empty = sealed.as_ref().is_some_and(|(_, report)| !report.contains("tokens"));
        // Windows without usage are reported, until the first one with usage is sealed.
        world.platform.state().faults.reports_down = !is_empty;
        sealed.filter(|_| !is_empty)
    });
    for node in 0..3 {
        wait_until("all counts are in the table", || is_flushed(&world, node));
    }
    let (holder, epoch) = world.lease_holder("usage/0").unwrap();
    world.nodes[holder].kill();
    assert!(!world.platform.state().reports.contains_key(&window));
    wait_until("another node holds the lease", || {
        world.lease_holder("usage/0").filter(|(_, e)| *e > epoch)
    });
    ask_other_nodes(&world, holder);
    world.platform.state().faults.reports_down = false;
    wait_until("the window is reported", || {
        world.platform.state().reports.get(&window).map(|_| ())
    });
    check_reports(&world);
    let state = world.platform.state();
    assert!(state.reports[&window].iter().all(|received| received == report.as_bytes()));
    let value: Value = serde_json::from_str(&report).unwrap();
    assert_eq!(value["epoch"].as_u64(), Some(epoch));
}

/// Makes calls through the other nodes, so that a second seal would have other counts.
fn ask_other_nodes(world: &World, killed: usize) {
    let mut nodes = world.caller_addresses();
    nodes.remove(killed);
    let options = app::Options { key: "shop-key".into(), nodes, ..app::Options::default() };
    let app = App::spawn(app::Options { questions: 5, ..options }).unwrap();
    wait_until("all questions are answered", || app.is_finished().then_some(()));
}

/// Guards against counts that are added twice or dropped when a commit or a report
/// takes effect and its response is lost, and against a metric that shows other counts.
#[test]
fn store_loses_responses() {
    let world = world();
    world.platform.state().faults.lose_share = 0.3;
    wait_until("responses are lost and two windows with usage are reported", || {
        ask(&world, 3, 5);
        let state = world.platform.state();
        let has_usage = |report: &Bytes| report.windows(6).any(|part| part == b"tokens");
        let reported = state.reports.values().filter(|received| has_usage(&received[0])).count();
        (state.faults.lost_responses > 0 && reported >= 2).then_some(())
    });
    world.platform.state().faults.lose_share = 0.0;
    let counted = (0..3).map(|node| world.metric(node, "tamarackdock_usage_tokens_total").unwrap());
    assert_eq!(counted.sum::<u64>(), world.generated_tokens());
    check_reports(&world);
}

/// Guards against counts that are lost with a node that is killed before its flush. The
/// table is down, and the node's counts are in the copies of a peer only.
#[test]
fn node_killed_before_flush() {
    let mut world = world();
    world.platform.state().faults.table_down = true;
    ask(&world, 1, 10);
    let generated = world.generated_tokens();
    wait_until("a peer holds copies of all counts", || {
        let state = world.debug_state(1)?;
        let copies = state["usage"]["copies"].as_array()?.iter();
        let tokens: u64 = copies.filter_map(|copy| copy["tokens"].as_u64()).sum();
        (tokens == generated).then_some(())
    });
    world.nodes[0].kill();
    world.platform.state().faults.table_down = false;
    check_reports(&world);
}
