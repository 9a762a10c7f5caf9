use std::time::Duration;

use super::{at, item, job, route};
use crate::{
    batch::{
        estimate::{finish_targets, running_step, shared_step},
        job::RunOutcome,
        placement::PlacementTarget,
        progress::Progress,
    },
    deployment::{Deployment, Route},
    target::Software,
};

fn target(id: &str, event_interval_ms: Option<f64>) -> PlacementTarget {
    PlacementTarget {
        id: id.into(),
        software: Software { service: "llm".into(), version: "v1".into() },
        running: 1,
        slots: 4,
        event_interval_ms,
        samples: 9,
        allowed_starts: 2,
        is_avoided: false,
        refuses: false,
        is_local: true,
        fitting_jobs: vec![0],
    }
}

fn targets() -> Vec<PlacementTarget> {
    vec![target("fast", Some(20.0)), target("slow", Some(60.0)), target("new", None)]
}

/// Guards against items that count twice or not at all for the end of a step, and against a
/// carried group that counts as another one.
#[test]
fn a_step_consists_of_its_runs_and_waiting_items() {
    let items =
        vec![item("a", "g", 100), item("b", "g", 500), item("c", "h", 500), item("d", "i", 200)];
    let mut job = job(items);
    job.start(0, "slow".into());
    job.start(2, "gone".into());
    job.start(3, "fast".into());
    job.end_run(3, RunOutcome::Completed, at(0));
    job.restore("b", Progress::default(), true);
    let targets = targets();
    insta::assert_debug_snapshot!(running_step(&job, 0, &targets, &finish_targets(&targets)));
}

/// Guards against a target that is preferred or shunned because it was not measured, and against
/// starts on one that is to be avoided or may take no more.
#[test]
fn a_target_without_measurements_counts_as_the_mean_of_its_service() {
    let mut placement_targets = targets();
    placement_targets[0].is_avoided = true;
    let targets = finish_targets(&placement_targets);
    let intervals: Vec<f64> = targets.iter().map(|target| target.event_ms).collect();
    assert_eq!(intervals, [20.0, 60.0, 40.0]);
    let open: Vec<u32> = targets.iter().map(|target| target.open).collect();
    assert_eq!(open, [0, 2, 2]);
}

/// Guards against a job whose need, rank or due time is not that of its submission and route, and
/// against one that is held to be late although its route names no due time.
#[test]
fn a_job_is_shared_by_its_route_and_progress() {
    let items = vec![item("a", "g", 100), item("b", "h", 300)];
    let mut job = job(items);
    job.start(0, "fast".into());
    let due = |due| Route { due, ..route() };
    let shared = |due_ms| {
        let mut deployment = Deployment { version: 1, ..Deployment::default() };
        deployment.add_route(due(Duration::from_millis(due_ms)));
        shared_step(&job, &deployment, 0, 500.0, 1.0, at(100)).0
    };
    insta::assert_debug_snapshot!([shared(200), shared(7_500), shared(0)]);
}
