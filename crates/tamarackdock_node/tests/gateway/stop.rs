//! Planned stops while calls are in progress.

use std::{
    thread,
    time::{Duration, Instant},
};

use platform_standin::{Client, LARGE_ANSWERS, LONG_CALLS};

use crate::cluster::{Cluster, KEY};

/// Time from SIGTERM to SIGKILL in the settings of nodes.
const STOP_TIME: Duration = Duration::from_secs(6);
/// Deadline of calls, longer than the stop.
const DEADLINE: Duration = Duration::from_secs(15);
/// Time for which calls run before the stop begins.
const LEAD: Duration = Duration::from_millis(500);

/// Guards against a planned stop that cuts calls which targets answer before the last sixth of
/// the time until the process is killed.
#[test]
fn a_planned_stop_waits_for_long_calls() {
    let mut cluster = Cluster::start("stop-long-calls", 2, 0);
    let node = cluster.addresses()[0];
    let last_sixth = STOP_TIME * 5 / 6;
    let calls: Vec<_> = [1_000, 150, 100, 60]
        .map(|early_ms| (LEAD + last_sixth).saturating_sub(Duration::from_millis(early_ms)))
        .into_iter()
        .map(|takes| {
            let path = format!("{LONG_CALLS}{}", takes.as_millis());
            let id = format!("long-{}", takes.as_millis());
            thread::spawn(move || Client::new(KEY, DEADLINE).call(node, &path, &id).status())
        })
        .collect();
    thread::sleep(LEAD);
    let stopped = Instant::now();
    cluster.nodes[0].terminate();
    let statuses: Vec<u16> = calls.into_iter().map(|call| call.join().unwrap()).collect();
    assert_eq!(statuses, vec![200; 4]);
    assert!(cluster.nodes[0].wait(STOP_TIME).unwrap(), "the stop was not orderly");
    assert!(stopped.elapsed() < STOP_TIME, "the process would have been killed");
}

/// Guards against a planned stop that ends the process while the end of an answer is still in its
/// memory: on a slow link, the buffers of the system hold a part only.
#[test]
fn a_planned_stop_waits_until_answers_are_written() {
    const ANSWER_BYTES: usize = 14_000_000;
    const LINK_BYTES_PER_S: f64 = 3_000_000.0;
    let mut cluster = Cluster::start("stop-long-answers", 2, 0);
    let node = cluster.addresses()[0];
    let caller = thread::spawn(move || {
        let path = format!("{LARGE_ANSWERS}{ANSWER_BYTES}");
        Client::new(KEY, DEADLINE).read_slowly(node, &path, "large", LINK_BYTES_PER_S)
    });
    thread::sleep(Duration::from_millis(200));
    cluster.nodes[0].terminate();
    assert_eq!(caller.join().unwrap().unwrap(), ANSWER_BYTES);
    assert!(cluster.nodes[0].wait(STOP_TIME).unwrap(), "the stop was not orderly");
}
