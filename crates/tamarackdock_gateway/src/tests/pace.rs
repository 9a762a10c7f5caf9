//! The load of all nodes on the store.

use crate::pace::{CRASHES, JOBS, MEMBERS, Pace, RENEWALS, TARGETS, USAGE};

/// Rates of the smaller stores, in calls a second.
const WRITES: u128 = 800;
const READS: u128 = 2_000;
const PART_WRITES: u128 = 200;

/// Returns the calls a second of all nodes at a pace.
fn rate(pace: Pace, nodes: usize) -> u128 {
    let interval = pace.interval(nodes).as_nanos();
    (nodes as u128 * 1_000_000_000).checked_div(interval).unwrap_or_default()
}

/// Guards against a store that the nodes' own periodic calls keep busy: at 300
/// nodes it turned calls of all nodes away, and hardly a request was served.
#[test]
fn periodic_calls_leave_half_of_the_store_at_any_number_of_nodes() {
    for nodes in [1, 12, 69, 100, 300, 419, 1_000] {
        let rate = |pace| rate(pace, nodes);
        let reads = rate(MEMBERS) + rate(TARGETS) + rate(JOBS) + rate(CRASHES);
        assert!(rate(RENEWALS) <= PART_WRITES / 2 && rate(USAGE) <= PART_WRITES / 2);
        assert!(rate(RENEWALS) + rate(USAGE) <= WRITES / 2, "{nodes} nodes");
        assert!(reads <= READS / 2, "{nodes} nodes: {reads} reads a second");
    }
}

/// Guards against slower detection on deployments that are small enough.
#[test]
fn few_nodes_call_often() {
    let intervals: Vec<_> = [RENEWALS, USAGE, MEMBERS, TARGETS, JOBS, CRASHES]
        .into_iter()
        .map(|pace| [12, 69, 300].map(|nodes| pace.interval(nodes).as_millis()))
        .collect();
    insta::assert_debug_snapshot!(intervals);
}
