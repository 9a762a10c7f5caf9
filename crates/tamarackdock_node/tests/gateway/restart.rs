//! A holder of the duties that is killed and started again.

use std::{
    thread,
    time::{Duration, Instant},
};

use platform_standin::Node;
use serde_json::Value;

use crate::cluster::{Cluster, Trainer, Violations};

/// Time in which a log line that must come has come.
const LOG_BOUND: Duration = Duration::from_secs(20);
/// Bound on a change of the holder, longer than the test waits: another node can't take the lease
/// of the restarted one in time.
const LEASE_MS: u64 = 40_000;
/// Time in which a process that can't start has ended.
const START_BOUND: Duration = Duration::from_secs(10);

/// Starts three nodes with `scheduling.adaptive`. Also returns the number of epochs before.
fn start(name: &str) -> (Cluster, u64) {
    let mut cluster = Cluster::start(name, 3, 0);
    cluster.nodes.iter_mut().for_each(Node::kill);
    let epochs = cluster.log_lines("\"duties: lease acquired\"").len();
    for node in &mut cluster.nodes {
        node.set("scheduling", "adaptive", true);
        node.set("bounds", "lease_ms", LEASE_MS);
    }
    cluster.nodes.iter_mut().for_each(Node::restart);
    cluster.wait_until_served();
    (cluster, epochs as u64)
}

/// Returns node and epoch of the first log line with a message and an epoch above a given one.
fn wait_for_epoch(cluster: &Cluster, message: &str, above: u64) -> (usize, u64) {
    let epoch = |line: &String| serde_json::from_str::<Value>(line).ok()?["epoch"].as_u64();
    let of_node = |node: usize| {
        let lines = cluster.node_lines(node, message);
        lines.iter().filter_map(epoch).find(|epoch| *epoch > above).map(|epoch| (node, epoch))
    };
    let until = Instant::now() + LOG_BOUND;
    loop {
        if let Some(found) = (0..cluster.nodes.len()).find_map(of_node) {
            return found;
        }
        assert!(Instant::now() < until, "no line `{message}` with an epoch above {above}");
        thread::sleep(Duration::from_millis(10));
    }
}

/// Returns the holder of the duties and its epoch, once one of the nodes' second runs is the
/// holder: only these bind their addresses exclusively.
fn holder(cluster: &Cluster, earlier: u64) -> (usize, u64) {
    wait_for_epoch(cluster, "\"duties: lease acquired\"", earlier)
}

/// Guards against orders that rest for the term of the lease of a holder that was killed and is
/// back, and against orders of its next run under the same epoch.
#[test]
fn a_restarted_holder_continues_the_orders() {
    let (mut cluster, earlier) = start("restarted-holder");
    let violations = Violations::default();
    let mut trainer =
        Trainer::new("t", cluster.addresses(), cluster.store.clone(), violations.clone());
    let (holder, epoch) = holder(&cluster, earlier);
    let mut step = trainer.submit(0, 4);
    let order = "\"loads: sending order\"";
    assert_eq!(wait_for_epoch(&cluster, order, epoch - 1), (holder, epoch));
    trainer.finish(&mut step);
    cluster.nodes[holder].kill();
    cluster.nodes[holder].restart();
    // It accepts version 2 and publishes version 3.
    let mut step = trainer.submit(4, 4);
    assert_eq!(wait_for_epoch(&cluster, order, epoch), (holder, epoch + 1));
    trainer.finish(&mut step);
    assert_eq!(violations.all(), Vec::<String>::new());
}

/// Guards against two processes of a host, of which the second one would take the lease of the
/// first one while that is only paused.
#[test]
fn a_second_process_of_a_paused_host_does_not_start() {
    let (cluster, earlier) = start("second-process");
    let (holder, _) = holder(&cluster, earlier);
    cluster.nodes[holder].pause();
    assert!(cluster.nodes[holder].second_start_fails(START_BOUND), "a second process runs");
}
