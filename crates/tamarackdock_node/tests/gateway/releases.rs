//! Two releases side by side. `docs/operators/soak.md` says how to name the other one; without it,
//! all nodes run the same program.

use std::{
    collections::BTreeMap,
    thread,
    time::{Duration, Instant},
};

use crate::{
    cluster::{
        CallRecord, Cluster, KEY, OLD_KEY, Programs, StopFlag, Trainer, Violations, call_until,
    },
    soak::check_calls,
    software::receive,
};

const NODES: usize = 3;
const ITEMS: usize = 24;
/// Longest time for a planned stop.
const STOP_TIME: Duration = Duration::from_secs(7);

/// Adds the calls that ran and got no answer.
fn check_answered(calls: &[CallRecord], runs: &BTreeMap<String, usize>, violations: &Violations) {
    for call in calls.iter().filter(|call| call.status == 0 && runs.contains_key(&call.id)) {
        violations.add(format!("call `{}` ran and was cut", call.id));
    }
}

/// Guards against a release that does not understand the messages and rows of the one before,
/// or is not understood by it: calls that fail, steps and streams that stop, while nodes are
/// replaced one after the other by those of another release, and back.
#[test]
fn nodes_of_two_releases_work_together() {
    let mut cluster = Cluster::start_gated("releases", NODES, 0);
    let programs = Programs::of_environment();
    let (violations, stop) = (Violations::default(), StopFlag::default());
    let caller = |key: &'static str, path: &'static str, name: &'static str| {
        let (stop, violations, nodes) = (stop.clone(), violations.clone(), cluster.addresses());
        thread::spawn(move || call_until(&stop, &nodes, key, path, name, &violations))
    };
    let callers = [caller(KEY, "/once/", "once"), caller(OLD_KEY, "/app/", "app")];
    let trainer = {
        let (stop, violations) = (stop.clone(), violations.clone());
        let (nodes, store) = (cluster.addresses(), cluster.store.clone());
        thread::spawn(move || {
            let mut trainer = Trainer::new("t", nodes, store, violations);
            let mut steps = Vec::new();
            while !stop.is_set() {
                let mut job = trainer.submit(steps.len() as u64, ITEMS);
                trainer.finish(&mut job);
                trainer.end(&job);
                steps.push(job);
            }
            steps
        })
    };
    for (pass, node) in (0..2).flat_map(|pass| (0..NODES).map(move |node| (pass, node))) {
        cluster.nodes[node].terminate();
        assert!(cluster.nodes[node].wait(STOP_TIME).unwrap(), "the stop was not orderly");
        cluster.nodes[node].set_program(programs.alternate(pass + 1));
        cluster.nodes[node].restart();
        cluster.wait_until_served();
        // Nodes of both releases serve the parts of a stream.
        let first = format!("stream-{pass}-{node}");
        let (received, refused) = receive(&cluster, "/stream/breaking", &first);
        let expected = platform_standin::expected_stream(&first);
        if refused > 0 || received != expected {
            violations.add(format!("`{first}` was refused {refused} times or is not whole"));
        }
    }
    stop.set();
    let steps = trainer.join().unwrap();
    assert!(steps.len() >= 2 * NODES, "only {} steps", steps.len());
    let [once, app] = callers.map(|caller| caller.join().unwrap());
    let runs = cluster.runs();
    check_calls(&cluster, &once, &app, Instant::now(), &violations);
    check_answered(&once, &runs, &violations);
    for step in &steps {
        cluster.check_scores(step, &violations);
    }
    let served = once.iter().chain(&app).filter(|call| call.status == 200).count();
    assert!(served > 500, "only {served} calls were served");
    assert_eq!(violations.all(), Vec::<String>::new());
}
