//! Entries among those of the targets that another writer has left and that nobody can use.

use std::{
    thread,
    time::{Duration, Instant},
};

use platform_standin::{Client, ProxyMode, large_entry, odd_entries};

use crate::cluster::{Cluster, KEY};

/// Number of large entries, which together exceed the bound of an answer.
const LARGE_ENTRIES: usize = 120;

/// Replaces the services and waits until a node sends its calls to the new one.
fn assert_follows(cluster: &mut Cluster, node: usize, joins: &'static str) {
    let address = cluster.addresses()[node];
    let before = cluster.services.len();
    cluster.add_services(1, joins);
    thread::sleep(Duration::from_millis(600));
    cluster.services[..before].iter().for_each(|service| service.deregister(&cluster.store));
    let until = Instant::now() + Duration::from_secs(5);
    let mut client = Client::new(KEY, Duration::from_secs(1));
    for call in 0.. {
        let id = format!("{joins}-{call}");
        let status = client.call(address, "/app/", &id).status();
        let is_new = cluster.services[before].runs().iter().any(|run| run.id == id);
        if status == 200 && is_new {
            return;
        }
        assert!(Instant::now() < until, "node {node} does not follow the targets: {status}");
        thread::sleep(Duration::from_millis(50));
    }
}

/// Guards against a node that ends, or no longer follows the targets, because one entry can't be
/// used, and against one that can't start among such entries.
#[test]
fn odd_entries_of_targets_are_left_out() {
    let mut cluster = Cluster::start("odd-entries", 2, 0);
    for _ in 0..2 {
        for (number, content) in odd_entries().iter().enumerate() {
            cluster.store.put_bytes("servers", &format!("odd-{number}"), content);
        }
        cluster.store.put_value("servers", "odd", "*** no base64 ***");
        thread::sleep(Duration::from_millis(300));
    }
    assert_follows(&mut cluster, 0, "first");
    cluster.nodes[1].kill();
    cluster.nodes[1].restart();
    cluster.wait_until_served();
    assert_follows(&mut cluster, 1, "second");
    let ignored = cluster.log_lines("targets: entry ignored");
    let longest = ignored.iter().map(String::len).max();
    assert!(longest < Some(1_000), "a log line has {longest:?} bytes");
    // Each run of a node names each entry once.
    let (lines, most) = (ignored.len(), 3 * (odd_entries().len() + 1));
    assert!((most / 2..=most).contains(&lines), "{lines} lines");
}

/// Guards against a node that no longer follows the targets because the answer with all changes
/// is larger than it reads.
#[test]
fn large_entries_of_targets_do_not_stop_the_feed() {
    let mut cluster = Cluster::start("large-entries", 2, 0);
    cluster.nodes[0].pause();
    let large = large_entry();
    for number in 0..LARGE_ENTRIES {
        cluster.store.put_bytes("servers", &format!("large-{number}"), &large);
    }
    cluster.nodes[0].resume();
    cluster.wait_until_served();
    assert_follows(&mut cluster, 0, "first");
    cluster.nodes[1].kill();
    cluster.proxies[1].set(ProxyMode::Closed);
    cluster.nodes[1].restart();
    cluster.wait_until_served();
    assert_follows(&mut cluster, 1, "second");
}
