//! Connections to the store that go silent for good, without an error, while new ones work.

use std::{
    thread,
    time::{Duration, Instant},
};

use platform_standin::{Client, Store};

use crate::cluster::{Cluster, KEY};

/// Time after which a host must follow the store again, whatever has become of its connections.
const CONTACT: Duration = Duration::from_secs(3);
/// Time until the next poll has begun.
const POLL_TIME: Duration = Duration::from_secs(2);
const CALLS: usize = 12;
const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);

/// Lets a target leave right after the connection on which a host waits for changes of targets
/// went silent, and returns the calls that the host sends to it once it must know of that.
fn late_calls(name: &str, nodes: usize, leave: impl Fn(&Cluster, &Store)) -> Vec<String> {
    let cluster = Cluster::start(name, nodes, 0);
    let until = Instant::now() + POLL_TIME;
    while cluster.proxies[0].silence_polls() == 0 {
        assert!(Instant::now() < until, "the host does not poll for changes of targets");
        thread::sleep(Duration::from_millis(1));
    }
    let silent = Instant::now();
    leave(&cluster, &cluster.store);
    thread::sleep(CONTACT.saturating_sub(silent.elapsed()));
    let mut client = Client::new(KEY, CLIENT_TIMEOUT);
    for call in 0..CALLS {
        let status = client.call(cluster.addresses()[0], "/app/", &format!("late-{call}")).status();
        assert_eq!(status, 200);
    }
    let runs = cluster.services[0].runs();
    runs.into_iter().map(|run| run.id).filter(|id| id.starts_with("late-")).collect()
}

/// Guards against requests to a target that has said that it leaves, or whose entry is gone, at a
/// host whose poll for changes of targets waits on a silent connection.
#[test]
fn a_silent_poll_for_targets_is_replaced_in_time() {
    for (name, nodes) in [("silent-poll", 2), ("silent-poll-alone", 1)] {
        let late = late_calls(name, nodes, |cluster, store| cluster.services[0].deregister(store));
        assert_eq!(late, Vec::<String>::new(), "{name}: the entry was removed");
    }
    let late = late_calls("silent-poll-draining", 2, |cluster, store| {
        cluster.services[0].drain(store);
    });
    assert_eq!(late, Vec::<String>::new(), "the target is draining");
}
