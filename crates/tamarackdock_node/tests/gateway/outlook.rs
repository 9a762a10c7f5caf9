//! Calls to a plain service none of whose targets responds.

use std::{
    thread,
    time::{Duration, Instant},
};

use platform_standin::{Client, Node, ProxyMode};

use crate::{
    cluster::{Cluster, KEY, StopFlag, Violations, call_until},
    cut_hosts::untrue,
};

/// Callers, each with a call in flight for the 2 s of its timeout: enough for each of the four
/// targets to get several calls a second.
const CALLERS: u32 = 24;
/// Time between the starts of callers, which spreads their calls over the 2 s.
const CALLER_PAUSE: Duration = Duration::from_millis(2_000 / CALLERS as u64);
/// Time in which calls are refused at once: the silence must last for twice a call's 2 s.
const REFUSAL_BOUND: Duration = Duration::from_secs(20);
/// Time in which calls are served again.
const RETURN_BOUND: Duration = Duration::from_secs(10);

/// Guards against calls that are held until their timeout although no target has responded for
/// long, against refused calls that have run, and against refusals that go on afterwards.
#[test]
fn calls_to_silent_targets_are_refused_truly_and_served_again() {
    let mut cluster = Cluster::start_gated("outlook", 1, 0);
    cluster.nodes[0].kill();
    cluster.nodes[0].set("scheduling", "adaptive", true);
    cluster.nodes.iter_mut().for_each(Node::restart);
    cluster.wait_until_served();
    let services = || (0..cluster.services.len()).map(|index| cluster.engines.len() + index);
    let (stop, violations) = (StopFlag::default(), Violations::default());
    services().for_each(|target| cluster.cut_target(target, ProxyMode::DropAnswers));
    let callers: Vec<_> = (0..CALLERS)
        .map(|index| {
            thread::sleep(CALLER_PAUSE);
            let (stop, violations, nodes) = (stop.clone(), violations.clone(), cluster.addresses());
            let name = format!("outlook-{index}");
            thread::spawn(move || call_until(&stop, &nodes, KEY, "/once/", &name, &violations))
        })
        .collect();
    let until = Instant::now() + REFUSAL_BOUND;
    let refused = || cluster.log_lines("\"when\":\"at_once\"");
    while refused().is_empty() {
        assert!(Instant::now() < until, "no call was refused at once");
        thread::sleep(Duration::from_millis(50));
    }
    services().for_each(|target| cluster.cut_target(target, ProxyMode::Open));
    stop.set();
    let calls: Vec<_> = callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect();
    assert_eq!(untrue(&cluster, &calls), Vec::<String>::new());
    let mut client = Client::new(KEY, Duration::from_secs(3));
    let until = Instant::now() + RETURN_BOUND;
    let mut number = 0;
    while client.call(cluster.addresses()[0], "/once/", &format!("after-{number}")).status() != 200
    {
        assert!(Instant::now() < until, "no call is served after the silence");
        number += 1;
    }
    assert_eq!(violations.all(), Vec::<String>::new());
}
