use std::time::Duration;

use super::{
    at,
    simulation::{Answer, Decision, Outcome, Recovery, SLOTS, USUAL_MS, simulate},
};
use crate::pace::{Cause, Pace, Running, Turn};

const BASELINE: Decision = Decision::Baseline(Recovery::Recovered);
const USUAL: Option<Duration> = Some(Duration::from_millis(USUAL_MS));

fn learned() -> Decision {
    Decision::Learned(Pace::default())
}

/// Returns the outcomes of the baseline and of the learned pace, which `--nocapture` shows.
fn compare(
    name: &str,
    hosts: usize,
    duration_ms: u64,
    answer: impl Fn(u64, u32, u32) -> Answer + Copy,
) -> (Outcome, Outcome) {
    let outcomes = (
        simulate(BASELINE, hosts, duration_ms, answer),
        simulate(learned(), hosts, duration_ms, answer),
    );
    println!("{name}: {outcomes:?}");
    outcomes
}

/// Guards against a target that breaks down under the requests that waited for its return. For a
/// second, it bears two requests within 100 ms at first and one more with each 50 ms.
#[test]
fn a_target_that_is_flooded_after_its_return_does_not_break() {
    let answer = |now: u64, _, recent: u32| match now {
        0..1000 => Answer::Refuse,
        1000..2000 if u64::from(recent) > 2 + (now - 1000) / 50 => Answer::Crash,
        _ => Answer::Accept(USUAL_MS),
    };
    let (baseline, learned) = compare("flooded", 1, 9_000, answer);
    assert!(baseline.broken > 0 && learned.broken == 0);
    assert!(learned.completed > baseline.completed);
    assert!(learned.full_at < baseline.full_at);
}

/// Guards against a pace that costs callers time where a target could have borne everything.
#[test]
fn a_target_that_is_well_is_fully_used_within_the_doublings_of_the_window() {
    let answer = |now: u64, _, _| match now {
        0..1000 => Answer::Refuse,
        _ => Answer::Accept(USUAL_MS),
    };
    let (baseline, learned) = compare("well", 1, 10_000, answer);
    let doublings = u64::from(SLOTS.ilog2());
    let longest = baseline.full_at.unwrap() + doublings * (USUAL_MS + 10);
    assert!(learned.full_at.unwrap() <= longest);
    assert_eq!((learned.refused, learned.broken), (baseline.refused, 0));
}

/// Guards against a target that is held back for ever because nobody sent it a request.
#[test]
fn an_idle_target_gets_its_probe_whenever_the_next_request_comes() {
    let mut pace = Pace::default();
    pace.reset(Cause::Refused, 0, Turn::default(), at(0));
    assert_eq!(pace.allowed(Running::default(), at(149)), Some(0));
    assert_eq!(pace.allowed(Running::default(), at(60_000)), Some(1));
    let busy = |own| Running { own, others: 0 };
    assert_eq!(pace.allowed(busy(1), at(60_000)), Some(0));
    pace.respond(at(60_000), USUAL, SLOTS, at(60_070));
    assert_eq!(pace.allowed(busy(1), at(60_070)), Some(1));
    pace.respond(at(60_070), USUAL, SLOTS, at(60_140));
    pace.respond(at(60_070), USUAL, SLOTS, at(60_140));
    assert_eq!((pace.allowed(busy(8), at(60_140)), pace.window()), (None, None));
}

/// Guards against a target that accepts requests and never answers: it may hold one at a time.
#[test]
fn a_target_that_accepts_and_never_answers_holds_one_request() {
    let (baseline, learned) = compare("ignores", 1, 10_000, |_, _, _| Answer::Ignore);
    // One probe, then a pause of 2.5 s as after a break.
    assert!(learned.broken <= 4 && learned.burst == 1);
    assert!(baseline.broken >= 2 * SLOTS && baseline.burst == SLOTS);
}

/// Guards against a target that refuses requests while its entry says that it is well, and against
/// a change in how often it is probed.
#[test]
fn a_target_that_refuses_is_probed_as_often_as_before() {
    let (baseline, learned) = compare("refuses", 1, 3_000, |_, _, _| Answer::Refuse);
    assert_eq!((learned.burst, learned.refused), (1, baseline.refused));
}

/// Guards against a target that flaps and takes several items with it each time.
#[test]
fn a_flapping_target_breaks_fewer_requests() {
    // It serves for 400 ms and refuses everything for 300 ms.
    let answer = |now: u64, _, _| match now % 700 {
        0..400 => Answer::Accept(USUAL_MS),
        400..405 => Answer::Crash,
        _ => Answer::Refuse,
    };
    let (baseline, learned) = compare("flapping", 1, 60_000, answer);
    assert!(learned.refused + learned.broken < baseline.refused + baseline.broken);
}

/// Guards against a pause that doubles with each failed probe, so that the end of a load is seen
/// late, and against one that does not double when the target flaps.
#[test]
fn the_pause_doubles_only_with_relapses() {
    let mut pace = Pace::default();
    let pause = |pace: &Pace, from: u64| {
        (0..9_000).find(|pause| pace.allowed(Running::default(), at(from + pause)) != Some(0))
    };
    // Responses from before the first failure are no recovery from it.
    pace.respond(at(0), USUAL, SLOTS, at(0));
    let mut now = 0;
    for _ in 0..7 {
        pace.reset(Cause::Refused, 0, Turn::default(), at(now));
        assert_eq!(pause(&pace, now), Some(150));
        now += 150;
    }
    for expected in [300, 600, 1200, 2000, 2000] {
        pace.respond(at(now), USUAL, SLOTS, at(now + 70));
        now += 100;
        pace.reset(Cause::Broken, 0, Turn::default(), at(now));
        assert_eq!(pause(&pace, now), Some(expected));
        now += expected;
    }
    pace.respond(at(now), USUAL, SLOTS, at(now + 70));
    now += 5_100;
    pace.reset(Cause::Refused, 0, Turn::default(), at(now));
    assert_eq!(pause(&pace, now), Some(150));
}

/// Guards against a slow target whose window grows as if it were well, and against one that gets
/// no further request until its item of some seconds ends.
#[test]
fn slow_responses_narrow_the_window_to_one_request_after_another() {
    let mut pace = Pace::default();
    pace.reset(Cause::Appeared, 0, Turn::default(), at(0));
    let busy = |own| Running { own, others: 0 };
    pace.respond(at(0), USUAL, SLOTS, at(70));
    assert_eq!(pace.window(), Some(2));
    pace.respond(at(70), USUAL, SLOTS, at(370));
    assert_eq!((pace.window(), pace.allowed(busy(2), at(370))), (Some(1), Some(0)));
    pace.respond(at(80), USUAL, SLOTS, at(380));
    assert_eq!(pace.allowed(busy(1), at(529)), Some(0));
    assert_eq!(pace.allowed(busy(1), at(530)), Some(1));
    // A response to a request from before the last failure says nothing.
    pace.reset(Cause::Refused, 0, Turn::default(), at(600));
    pace.respond(at(599), USUAL, SLOTS, at(610));
    assert_eq!(pace.window(), Some(1));
}

/// Guards against a target that refuses for a load of weights while it still holds items of some
/// seconds: they must not keep the probe back.
#[test]
fn requests_in_progress_do_not_keep_the_probe_back() {
    let mut pace = Pace::default();
    pace.reset(Cause::Refused, 6, Turn::default(), at(0));
    let running = |own, others| Running { own, others };
    assert_eq!(pace.allowed(running(6, 0), at(150)), Some(1));
    assert_eq!(pace.allowed(running(7, 0), at(150)), Some(0));
    assert_eq!(pace.allowed(running(6, 3), at(150)), Some(1));
    pace.end(2);
    assert_eq!(pace.allowed(running(2, 0), at(150)), Some(1));
    pace.respond(at(160), USUAL, SLOTS, at(220));
    // The requests of others count against the window.
    assert_eq!(pace.allowed(running(2, 0), at(220)), Some(2));
    assert_eq!(pace.allowed(running(2, 1), at(220)), Some(1));
}

/// Guards against thirty hosts that send thirty probes at the same time, and then all that waits,
/// to a target that has come back.
#[test]
fn thirty_hosts_send_one_probe_and_share_the_slots() {
    let answer = |now: u64, _, _| match now {
        0..1000 => Answer::Refuse,
        _ => Answer::Accept(USUAL_MS),
    };
    let (baseline, learned) = compare("thirty hosts", 30, 4_000, answer);
    assert_eq!(baseline.burst, 30 * (SLOTS - 1));
    assert!(learned.burst <= 2 * SLOTS);
    assert!(learned.refused * 3 < baseline.refused);
    // The target is used no later than the probes of one host would allow.
    assert!(learned.full_at.unwrap() <= baseline.full_at.unwrap() + 1_000);
}

/// Guards against a target that is held back because single requests on it break while the others
/// go on, as on one that fails some of its requests.
#[test]
fn a_break_among_requests_that_go_on_changes_nothing() {
    let busy = |own| Running { own, others: 0 };
    let mut pace = Pace::default();
    pace.reset(Cause::Broken, 5, Turn::default(), at(1_000));
    pace.go_on(at(500), at(1_099));
    assert_eq!(pace.allowed(busy(5), at(1_150)), Some(1), "events may have been on their way");
    pace.go_on(at(1_000), at(1_150));
    assert_eq!(pace.allowed(busy(5), at(1_150)), Some(1), "a run from after the break");
    pace.go_on(at(500), at(1_150));
    assert_eq!(pace, Pace::default());
    // A refusal says something about further requests, also while others go on.
    pace.reset(Cause::Refused, 5, Turn::default(), at(2_000));
    pace.go_on(at(500), at(2_200));
    assert_eq!(pace.allowed(busy(5), at(2_200)), Some(1));
    // One break after another, as when a target goes down.
    let mut pace = Pace::default();
    for running in [2, 1, 0] {
        pace.reset(Cause::Broken, running, Turn::default(), at(3_000));
    }
    pace.go_on(at(500), at(3_200));
    assert_eq!(pace.allowed(busy(0), at(3_200)), Some(1));
}

/// Guards against a target that is taken for a flapping one because it runs items that break it,
/// although it completes the others.
#[test]
fn a_target_that_completes_items_does_not_flap() {
    let pause_after = |completes: bool| {
        let mut pace = Pace::default();
        for now in [0, 1_000, 2_000] {
            pace.reset(Cause::Broken, 0, Turn::default(), at(now));
            pace.respond(at(now + 500), USUAL, SLOTS, at(now + 570));
            if completes {
                pace.complete(at(now + 500));
            }
        }
        pace.reset(Cause::Broken, 0, Turn::default(), at(3_000));
        (3_000..9_000).find(|now| pace.allowed(Running::default(), at(*now)) != Some(0))
    };
    assert_eq!(pause_after(false), Some(3_000 + 150 * 8));
    assert_eq!(pause_after(true), Some(3_000 + 150 * 2));
}
