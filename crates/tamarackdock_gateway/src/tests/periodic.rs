//! Load on the store by the periodic calls of all nodes.

use std::time::Duration;

use crate::{
    continuation::PARTS,
    periodic::{
        BEGINNINGS, CRASHES, JOBS, MEMBERS, PROBES, PeriodicCall, RENEWALS, RETRIES, Rates,
        TARGETS, USAGE,
    },
};

/// Rates of stores, the smallest first.
const STORES: [Rates; 2] = [
    Rates { reads_per_s: 2_000, part_writes_per_s: 200 },
    Rates { reads_per_s: 6_000, part_writes_per_s: 200 },
];
const SIZES: [usize; 7] = [1, 12, 69, 100, 300, 419, 1_000];

/// Returns the calls a second of all nodes for a periodic call.
fn rate(call: PeriodicCall, nodes: usize, rates: Rates) -> u128 {
    let interval = call.interval(nodes, rates).as_nanos();
    (nodes as u128 * 1_000_000_000).checked_div(interval).unwrap_or_default()
}

/// Guards against a store that is overloaded by periodic calls alone: at 300 nodes it
/// refused calls of all nodes, and hardly a request was served.
#[test]
fn periodic_calls_leave_half_of_the_store_at_any_number_of_nodes() {
    for (nodes, rates) in SIZES.into_iter().flat_map(|nodes| STORES.map(|rates| (nodes, rates))) {
        let rate = |call| rate(call, nodes, rates);
        let reads = rate(MEMBERS) + rate(TARGETS) + rate(JOBS) + rate(CRASHES);
        assert!(reads <= u128::from(rates.reads_per_s) / 2, "{nodes} nodes: {reads} reads");
        let half = u128::from(rates.part_writes_per_s) / 2;
        assert!(rate(RENEWALS) <= half && rate(USAGE) <= half, "{nodes} nodes");
        // Each node writes to one of the parts.
        let in_part = nodes.div_ceil(usize::try_from(PARTS).unwrap());
        assert!(super::periodic::rate(BEGINNINGS, in_part, rates) <= half, "{nodes} nodes");
    }
}

/// Guards against a store that stays overloaded by the retries of nodes that it
/// refused: when 300 nodes started at once, each refused call was repeated after
/// 0.12 s, which made 2,500 calls a second for each feed.
#[test]
fn retries_after_refusals_leave_half_of_the_store() {
    for nodes in SIZES {
        let rates = STORES[0];
        let feeds = 3 * rate(RETRIES, nodes, rates) + rate(PROBES, nodes, rates);
        assert!(feeds <= u128::from(rates.reads_per_s) / 2, "{nodes} nodes: {feeds} retries");
    }
    let pauses =
        (1..7).map(|failures| RETRIES.retry_pause(failures, 0, STORES[0], 0.5).as_millis());
    assert_eq!(pauses.collect::<Vec<_>>(), [120, 240, 480, 960, 960, 960]);
    assert_eq!(RETRIES.retry_pause(1, 12, STORES[0], 0.0), Duration::from_millis(60));
}

/// Guards against slower failure detection in small deployments, which need no longer
/// intervals.
#[test]
fn few_nodes_call_often() {
    let intervals: Vec<_> = [RENEWALS, USAGE, MEMBERS, TARGETS, JOBS, CRASHES]
        .into_iter()
        .map(|call| [12, 69, 300].map(|nodes| call.interval(nodes, STORES[0]).as_millis()))
        .collect();
    insta::assert_debug_snapshot!(intervals);
}
