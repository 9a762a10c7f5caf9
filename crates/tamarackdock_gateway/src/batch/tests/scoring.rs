use std::time::Duration;

use super::{at, event, item, job, scored_item};
use crate::{
    batch::{
        ItemOutcome, ScoringCall,
        job::{Job, Phase, RunOutcome},
        scoring::{Checks, Invalid, Next, Outcome, Scoring, WaitingCall, admit},
    },
    deployment::{CallKind, Deployment, Route},
};

/// Number of failed answers at which an item is aborted.
const MAX_FAILURES: u32 = 3;

/// Returns a job whose only item has just been generated.
fn generated() -> Job {
    let mut job = job(vec![scored_item("a", "g")]);
    job.start(0, "t".into());
    job.items[0].progress.append(&event(1, "x"), Some(5)).unwrap();
    job.end_run(0, RunOutcome::Completed, at(0));
    job
}

/// Returns a job whose only item waits for its scoring call.
fn unscored() -> Job {
    let mut job = generated();
    let extent = job.items[0].progress.extent();
    job.mark_saved(0, extent);
    job
}

fn score(job: &mut Job, outcome: Outcome, now: u64) {
    job.start_scoring(0);
    job.end_scoring(0, outcome, MAX_FAILURES, at(now));
}

/// Guards against a scoring call that is sent while another owner could still generate a
/// different text, and against a result without a score.
#[test]
fn the_text_is_in_the_store_before_the_scoring_call() {
    let mut job = generated();
    assert!(job.has_generated());
    assert_eq!((job.unscored(at(9)).count(), job.startable(at(9)).count()), (0, 0));
    let extent = job.items[0].progress.extent();
    job.mark_saved(0, extent);
    assert_eq!((job.has_generated(), job.unscored(at(9)).count()), (false, 1));
    assert!(job.uncommitted.is_empty());
    score(&mut job, Outcome::Scored("seal".into()), 9);
    let result = &job.uncommitted[0];
    assert_eq!((result.state, result.score.as_deref()), (ItemOutcome::Completed, Some("seal")));
    assert_eq!((result.text.as_str(), result.versions.as_slice()), ("x", [5].as_slice()));
}

/// Guards against a text that is saved in part while its last events arrive.
#[test]
fn a_save_from_before_the_end_does_not_release_the_scoring_call() {
    let mut job = job(vec![scored_item("a", "g")]);
    job.start(0, "t".into());
    job.items[0].progress.append(&event(1, "x"), Some(5)).unwrap();
    let extent = job.items[0].progress.extent();
    job.end_run(0, RunOutcome::Completed, at(0));
    job.mark_saved(0, extent);
    assert_eq!(job.items[0].phase, Phase::Generated);
}

/// Guards against an item that is aborted because a call was refused, lost or late.
#[test]
fn only_failed_answers_abort_an_item() {
    let mut job = unscored();
    let mut now = 0;
    for outcome in [Outcome::NotRun(None), Outcome::Unknown].into_iter().cycle().take(40) {
        score(&mut job, outcome, now);
        assert!(job.uncommitted.is_empty());
        now = job.next_start().unwrap().as_millis();
    }
    score(&mut job, Outcome::Failed(2), now);
    assert!(job.uncommitted.is_empty());
    score(&mut job, Outcome::Failed(1), now);
    let result = &job.uncommitted[0];
    assert_eq!((result.state, result.score.as_deref()), (ItemOutcome::Aborted, None));
}

/// Guards against calls that are sent again without a pause, which would starve other calls.
#[test]
fn calls_without_an_answer_are_spaced_out() {
    let mut scoring = Scoring::default();
    let pauses: Vec<u128> = (0..7)
        .map(|_| match scoring.end(Outcome::Unknown, MAX_FAILURES) {
            Next::Retry(pause) => pause.as_millis(),
            next => panic!("{next:?}"),
        })
        .collect();
    assert_eq!(pauses, [50, 100, 200, 400, 800, 1000, 1000]);
    let asked = Some(Duration::from_millis(400));
    let refused = scoring.end(Outcome::NotRun(asked), MAX_FAILURES);
    assert_eq!(refused, Next::Retry(Duration::from_millis(400)));
}

/// Guards against a take-over that generates a complete text again, and against the
/// reuse of a text that the new job has not saved.
#[test]
fn the_next_owner_goes_on_with_the_scoring_call() {
    let saved = unscored().items[0].progress.clone();
    let mut taken = job(vec![scored_item("a", "g")]);
    taken.restore("a", saved.clone(), false);
    assert_eq!(taken.items[0].phase, Phase::Unscored);
    let mut later = job(vec![scored_item("a", "g")]);
    later.restore("a", saved.into_new_job(), true);
    assert_eq!(later.items[0].phase, Phase::Generated);
}

/// Guards against a second result of an item whose scoring call ends after it was aborted.
#[test]
fn a_late_score_does_not_change_a_result() {
    let mut job = unscored();
    job.start_scoring(0);
    job.abort_unfinished();
    job.end_scoring(0, Outcome::Scored("seal".into()), MAX_FAILURES, at(1));
    assert_eq!(job.uncommitted.len(), 1);
    assert_eq!(job.uncommitted[0].state, ItemOutcome::Aborted);
}

fn waiting(job: usize, item: usize, carried: bool, unfinished_in_group: usize) -> WaitingCall {
    WaitingCall { job, item, carried, unfinished_in_group, is_unfit: false }
}

/// Guards against a step that ends late because its nearly complete groups wait behind others.
#[test]
fn groups_that_need_the_fewest_results_are_scored_first() {
    let calls = vec![
        waiting(1, 0, true, 1),
        waiting(0, 1, false, 4),
        waiting(0, 2, false, 1),
        waiting(0, 3, true, 4),
        waiting(0, 4, false, 2),
    ];
    let items: Vec<usize> = admit(calls, 4).into_iter().map(|call| call.item).collect();
    assert_eq!(items, [3, 2, 4, 1]);
}

fn deployment() -> Deployment {
    let mut deployment = Deployment::default();
    deployment.add_route(Route {
        name: "app".into(),
        host: "h".into(),
        prefix: "/app/".into(),
        kind: CallKind::Idempotent,
        timeout: Duration::from_secs(3),
        objective: Duration::from_millis(800),
        services: vec![("app".into(), 1)],
        attempts: 4,
        item_lifetime: Duration::ZERO,
        due: Duration::ZERO,
        single_version: false,
        public: false,
        rank: 0,
    });
    deployment
}

/// Guards against a job that is accepted although its scoring calls can't be made.
#[test]
fn jobs_with_unusable_scoring_calls_are_rejected() {
    let with = |change: fn(&mut ScoringCall)| {
        let mut items = [scored_item("a", "g"), scored_item("b", "g"), item("c", "g", 1)];
        change(items[1].scoring.as_mut().unwrap());
        let mut checks = Checks::default();
        items.iter().try_for_each(|item| checks.check(item, &deployment()))
    };
    assert_eq!(with(|_| ()), Ok(()));
    let b = || "b".to_owned();
    assert_eq!(with(|call| call.id = "".into()), Err(Invalid::Id { item: b() }));
    assert_eq!(with(|call| call.id = "a\r\nX: y".into()), Err(Invalid::Id { item: b() }));
    assert_eq!(
        with(|call| call.id = "s-a".into()),
        Err(Invalid::Repeated { item: b(), id: "s-a".into() })
    );
    assert_eq!(
        with(|call| call.path = "/gone/1".into()),
        Err(Invalid::NoRoute { item: b(), host: "h".into(), path: "/gone/1".into() })
    );
}

/// Guards against scoring calls that fit no target, which are always refused, and are sent before
/// others and at the full rate.
#[test]
fn calls_that_are_always_refused_go_last() {
    let mut scoring = Scoring::default();
    let pauses: Vec<u128> = (0..16)
        .map(|_| match scoring.end(Outcome::NotRun(None), MAX_FAILURES) {
            Next::Retry(pause) => pause.as_millis(),
            next => panic!("{next:?}"),
        })
        .collect();
    let usual = [30; 8];
    assert_eq!(pauses, [&usual[..], &[60, 120, 240, 480, 960, 1000, 1000, 1000]].concat());
    assert!(scoring.is_unfit());
    let unfit = WaitingCall { is_unfit: true, ..waiting(0, 0, true, 1) };
    let admitted = admit(vec![unfit, waiting(1, 1, false, 3)], 1);
    assert_eq!(admitted.iter().map(|call| call.job).collect::<Vec<_>>(), [1]);
    scoring.end(Outcome::Unknown, MAX_FAILURES);
    assert!(!scoring.is_unfit());
}

/// Guards against scoring calls that wait longer and longer because the limits of targets leave no
/// room for them, which says nothing about the calls.
#[test]
fn calls_that_were_not_sent_wait_for_the_time_that_they_are_given() {
    let mut scoring = Scoring::default();
    for _ in 0..40 {
        let after = Duration::from_millis(120);
        let next = scoring.end(Outcome::NotSent(Some(after)), MAX_FAILURES);
        assert_eq!(next, Next::Retry(after));
    }
    assert!(!scoring.is_unfit());
}
