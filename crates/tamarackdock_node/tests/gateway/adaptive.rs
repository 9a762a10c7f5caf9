//! Nodes that learn the pace of targets, with `scheduling.adaptive`.

use std::{
    thread,
    time::{Duration, Instant},
};

use platform_standin::{Node, ProxyMode};

use crate::{
    cluster::{Cluster, Trainer, Violations},
    ownership::{others, owner, slow_down},
};

/// Items of a step: enough to learn the usual time to the first event.
const ITEMS: usize = 24;
/// Time in which a log line that must come has come.
const LOG_BOUND: Duration = Duration::from_secs(20);

/// Starts nodes that reach the targets through proxies and learn their pace.
pub(crate) fn start(name: &str, nodes: usize, seed: u64) -> Cluster {
    let mut cluster = Cluster::start_gated(name, nodes, seed);
    for node in &mut cluster.nodes {
        node.kill();
        node.set("scheduling", "adaptive", true);
    }
    cluster.nodes.iter_mut().for_each(Node::restart);
    cluster.wait_until_served();
    cluster
}

/// Guards against items that wait for the longest timeout on an engine that fell silent, and that
/// are lost or run twice at once when they are started elsewhere.
#[test]
fn items_leave_a_silent_engine_after_the_learned_timeout() {
    let cluster = start("adaptive-silent", 1, 0);
    let violations = Violations::default();
    let nodes = cluster.addresses();
    let mut trainer = Trainer::new("t", nodes, cluster.store.clone(), violations.clone());
    for number in 0..2 {
        let mut step = trainer.submit(number, ITEMS);
        trainer.finish(&mut step);
    }
    let silent = 1;
    cluster.cut_target(silent, ProxyMode::DropAll);
    let mut step = trainer.submit(2, ITEMS);
    trainer.finish(&mut step);
    cluster.check_scores(&step, &violations);
    cluster.check_runs(&violations);
    assert_eq!(violations.all(), Vec::<String>::new());
    let lines = cluster.log_lines("\"item: no first event\"");
    let target = format!("\"target\":\"{}\"", cluster.engines[silent].id);
    let is_expected = |line: &String| line.contains(&target) && line.contains("Learned");
    assert!(lines.iter().any(is_expected), "no learned timeout ended a run: {lines:?}");
}

/// Guards against results that are lost or changed, and steps that stall, when engines that break
/// and come back are used by their learned pace.
#[test]
fn steps_complete_while_engines_come_and_go() {
    let cluster = start("adaptive-flapping", 3, 0);
    let violations = Violations::default();
    let nodes = cluster.addresses();
    let mut trainer = Trainer::new("t", nodes, cluster.store.clone(), violations.clone());
    let modes = [ProxyMode::Reset, ProxyMode::DropAll, ProxyMode::Closed, ProxyMode::DropAnswers];
    for (number, mode) in modes.into_iter().enumerate() {
        let mut step = trainer.submit(number as u64, ITEMS);
        for target in [0, 1, 0] {
            cluster.cut_target(target, mode);
            trainer.read(&mut step, ITEMS, Instant::now() + Duration::from_millis(300));
            cluster.cut_target(target, ProxyMode::Open);
        }
        trainer.finish(&mut step);
        cluster.check_scores(&step, &violations);
    }
    cluster.check_runs(&violations);
    assert_eq!(violations.all(), Vec::<String>::new());
    let lines = cluster.log_lines("\"pace: target changed\"");
    assert!(lines.iter().any(|line| line.contains("Broken")), "no target ramped: {lines:?}");
}

/// Guards against owners of jobs that hear nothing of each other's use of the engines, and against
/// an owner that does not ask the others when it takes a job over.
#[test]
fn owners_tell_each_other_what_they_observe() {
    let mut cluster = start("adaptive-owners", 3, 0);
    let violations = Violations::default();
    let nodes = cluster.addresses();
    let mut trainer = Trainer::new("t", nodes, cluster.store.clone(), violations.clone());
    // Just after the restart, a job may be given to the process before it and be taken over.
    let mut warm_up = trainer.submit(0, 4);
    trainer.finish(&mut warm_up);
    let mut first = trainer.submit(1, 4);
    trainer.finish(&mut first);
    slow_down(&cluster, true);
    // While its usual owner does not respond, another node gets the job.
    let usual = owner(&cluster, &first.job);
    cluster.nodes[usual].pause();
    trainer.nodes = others(&cluster, usual);
    let mut second = trainer.submit(2, ITEMS);
    cluster.nodes[usual].resume();
    trainer.nodes = cluster.addresses();
    let mut third = trainer.submit(3, ITEMS);
    let (other, usual) = (owner(&cluster, &second.job), owner(&cluster, &third.job));
    assert_ne!(other, usual, "one node owns both jobs");
    wait_for(|| {
        let is_told = |node| !cluster.node_lines(node, "\"observed: node reports\"").is_empty();
        is_told(other) && is_told(usual)
    });
    let queries = |cluster: &Cluster| cluster.log_lines("\"observed: other owners asked\"").len();
    let before = queries(&cluster);
    cluster.nodes[other].kill();
    wait_for(|| queries(&cluster) > before);
    slow_down(&cluster, false);
    trainer.nodes = others(&cluster, other);
    for step in [&mut second, &mut third] {
        trainer.finish(step);
        cluster.check_scores(step, &violations);
    }
    cluster.check_runs(&violations);
    assert_eq!(violations.all(), Vec::<String>::new());
}

fn wait_for(condition: impl Fn() -> bool) {
    let until = Instant::now() + LOG_BOUND;
    while !condition() {
        assert!(Instant::now() < until, "a log line is missing");
        thread::sleep(Duration::from_millis(10));
    }
}
