use std::time::Duration;

use super::support::{
    DEADLINE, assert_exactly_once, assert_none_failed, options, start_app, start_cluster,
    start_trainer, wait_until,
};
use rustix::process::Signal;
use standin::world;

/// Guards against a planned stop that interrupts calls, ends with an error or
/// loses a sample of a step, while each node in turn is replaced under load.
#[test]
fn rolling_replacement_interrupts_nothing() {
    let grace = Duration::from_millis(500);
    let mut cluster = start_cluster(world::Options { balancer_grace: grace, ..options() });
    let steps = 8;
    let trainer = start_trainer(&cluster, steps);
    let apps = [start_app(&cluster, false), start_app(&cluster, true)];
    for index in 0..cluster.nodes.len() {
        let asked = apps.each_ref().map(|app| app.read(|records| records.answered));
        wait_until("both apps get answers", || {
            apps.iter().zip(asked).all(|(app, before)| app.read(|r| r.answered) > before)
        });
        assert!(!trainer.is_finished(), "the trainer had ended before n{index} was stopped");
        cluster.nodes[index].signal(Signal::TERM).unwrap();
        wait_until("the health check fails", || !cluster.is_healthy(index));
        cluster.redirect_callers(index, (index + 1) % cluster.nodes.len());
        let status = cluster.nodes[index].wait(DEADLINE).unwrap();
        assert!(status.success(), "n{index} ended with {status}");
        cluster.replace(index).unwrap();
    }
    assert_exactly_once(&trainer, steps);
    apps.iter().for_each(assert_none_failed);
}

/// Guards against a runtime that uses `io_uring`, which entry hosts don't allow.
#[test]
fn running_node_holds_no_io_uring() {
    let cluster = start_cluster(options());
    let app = start_app(&cluster, false);
    wait_until("the app gets an answer", || app.read(|records| records.answered > 0));
    for node in &cluster.nodes {
        let descriptors = node.descriptors().unwrap();
        assert!(descriptors.iter().any(|link| link.contains("eventpoll")), "{descriptors:?}");
        assert!(!descriptors.iter().any(|link| link.contains("io_uring")), "{descriptors:?}");
    }
}
