use super::{at, event, item, job};
use crate::batch::{
    Listed, State,
    job::{Ended, Job, Phase},
    progress::Progress,
};

fn one() -> Job {
    job(vec![item("a", "g", 100)])
}

fn run(job: &mut Job, index: usize, ended: Ended, now: u64) {
    job.start(index, "t".into());
    job.end_run(index, ended, at(now));
}

fn states(job: &Job) -> Vec<(String, State)> {
    job.unlisted.iter().map(|result| (result.id.clone(), result.state)).collect()
}

/// Guards against an item that is given up before its attempts are used, or
/// that is run again after them.
#[test]
fn an_item_that_targets_fail_is_given_up_after_its_attempts() {
    let mut job = one();
    for _ in 0..2 {
        run(&mut job, 0, Ended::Failed, 0);
        assert_eq!(states(&job), []);
    }
    run(&mut job, 0, Ended::Failed, 0);
    assert_eq!(states(&job), [("a".into(), State::Aborted)]);
    assert_eq!(job.startable(at(9_999)).count(), 0);
}

#[test]
fn an_impossible_item_is_given_up_at_once() {
    let mut job = one();
    run(&mut job, 0, Ended::Impossible, 0);
    assert_eq!(states(&job), [("a".into(), State::Aborted)]);
}

/// Guards against giving an item up for faults that are not its own.
#[test]
fn broken_and_refused_runs_never_give_an_item_up() {
    let mut job = one();
    for ended in [Ended::Broken, Ended::Refused, Ended::WrongVersion, Ended::Moved].repeat(20) {
        run(&mut job, 0, ended, 0);
    }
    assert_eq!(states(&job), []);
}

/// Guards against an item that breaks its targets and takes down one after the
/// other without pause.
#[test]
fn runs_that_break_at_once_are_spaced_out() {
    let mut job = one();
    let mut now = 0;
    let pauses: Vec<u64> = (0..9)
        .map(|_| {
            run(&mut job, 0, Ended::Broken, now);
            let next = job.next_start().unwrap().as_millis();
            let pause = next - now;
            now = next;
            pause
        })
        .collect();
    assert_eq!(pauses, [50, 100, 200, 400, 800, 1600, 3200, 4000, 4000]);
    job.advanced(0);
    run(&mut job, 0, Ended::Broken, now);
    assert_eq!(job.next_start(), Some(at(now + 50)));
}

/// Guards against an item at two positions: a run that ends after its item was
/// given up, or after another node has listed it.
#[test]
fn an_item_has_one_result() {
    let mut job = job(vec![item("a", "g", 1), item("b", "g", 1)]);
    job.start(0, "t".into());
    job.start(1, "t".into());
    job.adopt(vec![Listed {
        id: "a".into(),
        state: State::Completed,
        text: "x".into(),
        versions: vec![5],
    }]);
    job.abort_rest();
    job.end_run(0, Ended::Whole, at(0));
    job.end_run(1, Ended::Whole, at(0));
    assert_eq!(states(&job), [("b".into(), State::Aborted)]);
    job.committed(1);
    assert!(job.is_complete());
}

/// Guards against results that are shown before they are stored.
#[test]
fn results_are_listed_when_they_are_committed() {
    let mut job = job(vec![item("a", "g", 1), item("b", "g", 1)]);
    run(&mut job, 1, Ended::Whole, 0);
    run(&mut job, 0, Ended::Whole, 0);
    assert!(job.listed.is_empty());
    job.committed(1);
    let listed: Vec<&str> = job.listed.iter().map(|result| result.id.as_str()).collect();
    assert_eq!(listed, ["b"]);
}

fn text(version: u64) -> Progress {
    let mut progress = Progress::default();
    progress.append(&event(1, "x"), Some(version)).unwrap();
    progress
}

/// Guards against text of weights that are too old for a job.
#[test]
fn text_of_old_weights_is_not_continued() {
    let mut job = job(vec![item("a", "g", 1), item("b", "h", 1)]);
    job.restore("a", text(4), true);
    job.restore("b", text(5), false);
    let events: Vec<usize> = job.works.iter().map(|work| work.progress.events()).collect();
    assert_eq!(events, [0, 1]);
    let carried: Vec<bool> = job.works.iter().map(|work| work.carried).collect();
    assert_eq!(carried, [true, false], "a group that comes again is carried in any case");
}

/// Guards against runs that start while a job is handed over, whose text would
/// be lost.
#[test]
fn a_job_that_is_handed_over_starts_nothing() {
    let mut job = one();
    job.stop_runs();
    assert_eq!(job.startable(at(0)).count(), 0);
    assert_eq!(job.works[0].phase, Phase::Waiting);
}
