use std::{collections::BTreeMap, rc::Rc};

use tamarackdock_types::clock::Instant;

use super::{History, LONGEST_PAUSE, SHORTEST_PAUSE, Subject};

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// Targets that have accepted other requests at the given times.
#[derive(Default)]
struct Targets(BTreeMap<&'static str, u64>);

impl Targets {
    fn refuse(&self, history: &mut History, target: &str, now: u64) -> Subject {
        let last_accepted = |target: &str| self.0.get(target).copied().map(at);
        history.record(&Rc::from(target), last_accepted, at(now))
    }
}

/// Guards against an item that fits no target and stands for the state of all of them.
#[test]
fn refusals_by_targets_that_go_on_to_accept_concern_the_request() {
    let mut history = History::default();
    let mut targets = Targets::default();
    let subjects: Vec<Subject> = (0..6)
        .map(|round| {
            let now = 100 * round;
            let subject = targets.refuse(&mut history, if round % 2 == 0 { "a" } else { "b" }, now);
            targets.0.extend([("a", now + 10), ("b", now + 10)]);
            subject
        })
        .collect();
    let (target, request) = (Subject::Target, Subject::Request);
    assert_eq!(subjects, [target, target, target, request, request, request]);
    assert_eq!(history.count(), 6);
}

/// Guards against items that wait longer and longer while all targets load weights.
#[test]
fn refusals_without_acceptances_concern_the_targets() {
    let mut history = History::default();
    let targets = Targets(BTreeMap::from([("a", 5), ("b", 5)]));
    for round in 1..200 {
        let target = if round % 2 == 0 { "a" } else { "b" };
        assert_eq!(targets.refuse(&mut history, target, 30 * round), Subject::Target);
    }
    assert_eq!(history.pause(), SHORTEST_PAUSE);
}

/// Guards against a request that is sent at the full rate until its lifetime ends, and against one
/// that is at no target for as long as the pages call lost.
#[test]
fn the_pause_grows_up_to_a_bound() {
    let mut history = History::default();
    let mut targets = Targets::default();
    let pauses: Vec<u128> = (1..13)
        .map(|round| {
            targets.refuse(&mut history, "a", 100 * round);
            targets.0.insert("a", 100 * round + 10);
            history.pause().as_millis()
        })
        .collect();
    assert_eq!(pauses, [30, 30, 30, 60, 120, 240, 480, 960, 1920, 2000, 2000, 2000]);
    assert_eq!(history.pause(), LONGEST_PAUSE);
}
