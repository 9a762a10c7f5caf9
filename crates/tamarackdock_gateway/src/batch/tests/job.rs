use super::{at, event, item, job};
use crate::{
    batch::{
        ItemOutcome, ItemResult,
        job::{Job, Phase, Room, RunOutcome},
        progress::Progress,
    },
    target::Software,
};

fn job_with_one_item() -> Job {
    job(vec![item("a", "g", 100)])
}

fn run(job: &mut Job, index: usize, outcome: RunOutcome, now: u64) {
    job.start(index, "t".into());
    job.end_run(index, outcome, at(now));
}

fn states(job: &Job) -> Vec<(String, ItemOutcome)> {
    job.uncommitted.iter().map(|result| (result.id.clone(), result.state)).collect()
}

/// Guards against an item that is aborted before its attempts are used, or that is run
/// again after them.
#[test]
fn an_item_is_aborted_after_its_failed_attempts() {
    let mut job = job_with_one_item();
    for _ in 0..2 {
        run(&mut job, 0, RunOutcome::Failed, 0);
        assert_eq!(states(&job), []);
    }
    run(&mut job, 0, RunOutcome::Failed, 0);
    assert_eq!(states(&job), [("a".into(), ItemOutcome::Aborted)]);
    assert_eq!(job.startable(at(9_999)).count(), 0);
}

/// Guards against repeated runs of an item that no target can process.
#[test]
fn an_impossible_item_is_aborted_at_once() {
    let mut job = job_with_one_item();
    run(&mut job, 0, RunOutcome::Impossible, 0);
    assert_eq!(states(&job), [("a".into(), ItemOutcome::Aborted)]);
}

/// Guards against aborting an item for failures that it did not cause: of connections,
/// full targets, weights and moves.
#[test]
fn broken_and_refused_runs_never_abort_an_item() {
    let mut job = job_with_one_item();
    for outcome in [
        RunOutcome::Broken,
        RunOutcome::Refused,
        RunOutcome::WrongVersion,
        RunOutcome::Moved,
        RunOutcome::Stale,
    ]
    .repeat(20)
    {
        run(&mut job, 0, outcome, 0);
    }
    assert_eq!(states(&job), []);
}

/// Guards against an item that crashes its targets, one after the other and without a
/// pause.
#[test]
fn runs_that_break_at_once_are_spaced_out() {
    let mut job = job_with_one_item();
    let mut now = 0;
    let pauses: Vec<u64> = (0..9)
        .map(|_| {
            run(&mut job, 0, RunOutcome::Broken, now);
            let next = job.next_start().unwrap().as_millis();
            let pause = next - now;
            now = next;
            pause
        })
        .collect();
    assert_eq!(pauses, [50, 100, 200, 400, 800, 1600, 3200, 4000, 4000]);
    job.record_progress(0);
    run(&mut job, 0, RunOutcome::Broken, now);
    assert_eq!(job.next_start(), Some(at(now + 50)));
}

/// Guards against an item with results at two positions: its run may end after the item
/// was aborted, or after another node has committed its result.
#[test]
fn an_item_has_one_result() {
    let mut job = job(vec![item("a", "g", 1), item("b", "g", 1)]);
    job.start(0, "t".into());
    job.start(1, "t".into());
    job.add_stored_results(vec![ItemResult {
        id: "a".into(),
        state: ItemOutcome::Completed,
        text: "x".into(),
        versions: vec![5],
        score: None,
    }]);
    job.abort_unfinished();
    job.end_run(0, RunOutcome::Completed, at(0));
    job.end_run(1, RunOutcome::Completed, at(0));
    assert_eq!(states(&job), [("b".into(), ItemOutcome::Aborted)]);
    job.mark_committed(1);
    assert!(job.is_complete());
}

/// Guards against results that clients can read before they are committed.
#[test]
fn results_become_readable_when_they_are_committed() {
    let mut job = job(vec![item("a", "g", 1), item("b", "g", 1)]);
    run(&mut job, 1, RunOutcome::Completed, 0);
    run(&mut job, 0, RunOutcome::Completed, 0);
    assert!(job.results.is_empty());
    job.mark_committed(1);
    let results: Vec<&str> = job.results.iter().map(|result| result.id.as_str()).collect();
    assert_eq!(results, ["b"]);
}

fn software() -> Software {
    Software { service: "llm".into(), version: "v1".into() }
}

fn text(version: u64) -> Progress {
    let mut progress = Progress::default();
    assert!(progress.continue_with(&software()));
    progress.append(&event(1, "x"), Some(version)).unwrap();
    progress
}

/// Guards against a job that continues text of weights that are too old for it.
#[test]
fn text_of_old_weights_is_not_continued() {
    let mut job = job(vec![item("a", "g", 1), item("b", "h", 1)]);
    job.restore("a", text(4), true);
    job.restore("b", text(5), false);
    let events: Vec<usize> = job.items.iter().map(|item| item.progress.event_count()).collect();
    assert_eq!(events, [0, 1]);
    let carried: Vec<bool> = job.items.iter().map(|item| item.carried).collect();
    assert_eq!(carried, [true, false], "a repeated group is carried over in any case");
}

/// Guards against a text of an earlier release, whose software version is not known, that goes
/// on at any target.
#[test]
fn text_of_unknown_software_is_not_continued() {
    let mut job = job_with_one_item();
    let mut unknown = Progress::default();
    unknown.append(&event(1, "x"), Some(9)).unwrap();
    job.restore("a", unknown.clone(), false);
    assert_eq!(job.items[0].progress.event_count(), 0);
    unknown.mark_complete();
    job.restore("a", unknown, false);
    assert_eq!(job.items[0].progress.event_count(), 1, "a complete text needs no target");
}

/// Guards against an item that waits for targets of a software version that is gone, or for
/// longer than its text is worth, and against one that loses its text although no other target
/// has room.
#[test]
fn a_text_is_discarded_when_waiting_costs_more() {
    let held = |waits: &[(Room, u64)]| {
        let mut job = job_with_one_item();
        job.restore("a", text(9), false);
        waits.iter().position(|(room, now)| job.hold(0, *room, at(*now)))
    };
    assert_eq!(held(&[(Room::Never, 1_000)]), Some(0));
    let elsewhere = [1_000, 1_020, 1_034, 1_035].map(|now| (Room::Elsewhere, now));
    assert_eq!(held(&elsewhere), Some(3));
    assert_eq!(held(&[(Room::Later, 1_000), (Room::Later, 60_000)]), None);
    let full = [(Room::Elsewhere, 1_000), (Room::Later, 1_020), (Room::Elsewhere, 1_060)];
    assert_eq!(held(&full), None, "the time during which all targets were full");
}

/// Guards against runs that start while a job is handed over: their text would be lost.
#[test]
fn a_job_that_is_handed_over_starts_nothing() {
    let mut job = job_with_one_item();
    job.stop_runs();
    assert_eq!(job.startable(at(0)).count(), 0);
    assert_eq!(job.items[0].phase, Phase::Waiting);
}
