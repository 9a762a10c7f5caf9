//! Targets and clients that send bytes without end.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use platform_standin::{Client, ENDLESS_PLACES, STREAM_WITHOUT_END, send_without_end};

use crate::cluster::{Cluster, KEY, Trainer, Violations};

/// Connections with bytes without end at the same time.
const CONNECTIONS: usize = 200;
/// Memory limit of the smallest hosts, in MB.
const MEMORY_MB: u64 = 160;
const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);

/// Makes calls at the same time and returns their statuses.
fn call_all(node: SocketAddr, path: impl Fn(usize) -> String) -> Vec<u16> {
    let calls: Vec<_> = (0..CONNECTIONS)
        .map(|index| (path(index), format!("endless-{index}")))
        .map(|(path, id)| {
            thread::spawn(move || Client::new(KEY, CLIENT_TIMEOUT).call(node, &path, &id).status())
        })
        .collect();
    calls.into_iter().map(|call| call.join().unwrap()).collect()
}

fn assert_serves(cluster: &Cluster) {
    let used = cluster.nodes[0].peak_memory_mb().expect("the process runs");
    assert!(used < MEMORY_MB, "the process used {used} MB");
    let served = Client::new(KEY, CLIENT_TIMEOUT).call(cluster.addresses()[0], "/app/", "after");
    assert_eq!(served.status(), 200);
}

/// Guards against a process that runs out of memory, a call that never ends and an answer made
/// of bytes that are none, because targets send bytes without end.
#[test]
fn answers_without_end_are_broken_off() {
    let cluster = Cluster::start("endless-answers", 1, 0);
    let place = |index: usize| ENDLESS_PLACES[index % ENDLESS_PLACES.len()];
    let statuses =
        call_all(cluster.addresses()[0], |index| format!("/app/endless/{}", place(index)));
    let wrong: Vec<_> = statuses.iter().filter(|status| !matches!(status, 502..=504)).collect();
    assert_eq!(wrong, Vec::<&u16>::new());
    assert_serves(&cluster);
}

/// Guards against the same for a stream whose first event never ends.
#[test]
fn a_stream_whose_event_never_ends_is_broken_off() {
    let cluster = Cluster::start("endless-streams", 1, 0);
    let statuses = call_all(cluster.addresses()[0], |_| STREAM_WITHOUT_END.into());
    assert!(!statuses.contains(&200), "a stream was complete: {statuses:?}");
    assert_serves(&cluster);
}

/// Guards against an item whose stream stalls but goes on to send a byte now and then: it
/// would hold its step until the item's lifetime ends.
#[test]
fn a_stalled_item_is_continued_elsewhere() {
    let cluster = Cluster::start("stall", 1, 0);
    let violations = Violations::default();
    let nodes = cluster.addresses();
    let mut trainer = Trainer::new("stall", nodes, cluster.store.clone(), violations.clone());
    let mut step = trainer.submit(0, 12);
    trainer.finish(&mut step);
    cluster.check_scores(&step, &violations);
    assert_eq!(violations.all(), Vec::<String>::new());
}

/// Guards against a process that runs out of memory because clients send bodies without end.
#[test]
fn requests_without_end_are_refused() {
    let mut cluster = Cluster::start("endless-requests", 1, 0);
    // So large that the size of one body does not end it.
    cluster.store.allow_bodies(1 << 30);
    cluster.configure(true);
    thread::sleep(Duration::from_secs(1));
    let node = cluster.addresses()[0];
    let until = Instant::now() + Duration::from_secs(4);
    let clients: Vec<_> = (0..CONNECTIONS / 4)
        .map(|index| {
            thread::spawn(move || send_without_end(node, KEY, &format!("endless-{index}"), until))
        })
        .collect();
    let answers: Vec<String> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    let served = answers.iter().filter(|answer| answer.starts_with("HTTP/1.1 2")).count();
    assert_eq!(served, 0);
    assert_serves(&cluster);
}
