use std::time::Duration;

use super::at;
use crate::pace::{Contact, FirstEvents, LONGEST_TIMEOUT, Patience, Verdict, Wait, stall_timeout};

/// Timeout of the previous decision, the same for all targets.
const BASELINE: Duration = Duration::from_millis(2500);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn learned(usual_ms: u64) -> FirstEvents {
    let mut times = FirstEvents::default();
    (0..64).for_each(|_| times.observe(millis(usual_ms)));
    times
}

/// Returns when a run that was sent at 0 ends, if the target sends events of other runs at the
/// given times and is silent otherwise.
fn end(patience: Patience, events_ms: &[u64]) -> (u64, Verdict) {
    let mut wait = Wait::new(at(0));
    let mut contact = Contact::default();
    let mut now = 0;
    loop {
        match wait.check(patience, &contact, at(now)) {
            Verdict::Wait(due) => {
                let event = events_ms.iter().copied().find(|event| *event > now);
                match event.filter(|event| at(*event) < due) {
                    Some(event) => {
                        now = event;
                        contact.record_event(at(event));
                    }
                    None => now = due.as_millis(),
                }
            }
            verdict => return (now, verdict),
        }
    }
}

/// Guards against a timeout that is shorter than a usual response, and against one that is taken
/// from too few responses.
#[test]
fn the_timeout_follows_the_usual_time_within_its_bounds() {
    let mut times = FirstEvents::default();
    (0..7).for_each(|_| times.observe(millis(60)));
    assert_eq!(times.timeout(), BASELINE);
    times.observe(millis(60));
    assert_eq!(times.timeout(), millis(600));
    assert_eq!(learned(200).timeout(), millis(1000));
    assert_eq!(learned(900).timeout(), BASELINE);
    assert_eq!(LONGEST_TIMEOUT, BASELINE);
}

/// Guards against items that wait 2.5 s on a target that stopped responding.
#[test]
fn a_silent_target_loses_a_run_sooner_than_with_the_baseline() {
    let patience = Patience::Learned(learned(70).timeout());
    assert_eq!(end(patience, &[]), (600, Verdict::Silent));
    assert_eq!(end(Patience::Longest, &[]), (2500, Verdict::Silent));
}

/// Guards against runs that are ended on a target that is only slow, which costs a connection and
/// the text so far each time.
#[test]
fn a_target_that_brings_events_of_other_runs_is_not_silent() {
    let patience = Patience::Learned(millis(600));
    let slow: Vec<u64> = (1..20).map(|index| index * 400).collect();
    assert_eq!(end(patience, &slow), (2500, Verdict::Overdue));
    // It falls silent after its event at 800 ms.
    assert_eq!(end(patience, &slow[..2]), (1400, Verdict::Silent));
}

/// Guards against each run on a silent target waiting for a timeout of its own, and against a run
/// that is sent later being ended at once.
#[test]
fn the_other_waiting_runs_end_with_the_first_one() {
    let patience = Patience::Learned(millis(600));
    let mut contact = Contact::default();
    let mut earlier = Wait::new(at(400));
    assert_eq!(earlier.check(patience, &contact, at(400)), Verdict::Wait(at(1000)));
    assert!(contact.record_silence(at(600)));
    assert!(!contact.record_silence(at(600)));
    assert_eq!(earlier.check(patience, &contact, at(600)), Verdict::Silent);
    let mut later = Wait::new(at(601));
    assert_eq!(later.check(patience, &contact, at(601)), Verdict::Wait(at(1201)));
}

/// Guards against targets that are blamed for a pause of this process.
#[test]
fn a_pause_of_the_process_is_no_silence() {
    let patience = Patience::Learned(millis(600));
    let contact = Contact::default();
    let mut wait = Wait::new(at(0));
    assert_eq!(wait.check(patience, &contact, at(0)), Verdict::Wait(at(600)));
    assert_eq!(wait.check(patience, &contact, at(2000)), Verdict::Wait(at(2600)));
    // A host that is late at each check must still find a silent target.
    assert_eq!(wait.check(patience, &contact, at(2800)), Verdict::Silent);
}

/// Guards against a service of which all targets became slower and whose runs never get to their
/// first event again.
#[test]
fn the_timeout_grows_if_all_targets_become_slower() {
    let mut times = learned(70);
    let rounds = (1..100).find(|_| {
        let timeout = times.timeout();
        times.observe(timeout);
        timeout >= millis(2000)
    });
    assert_eq!(rounds, Some(64 / 2 + 1));
    // A third of 45 targets that fall silent together change nothing.
    let mut times = learned(70);
    (0..15).for_each(|_| times.observe(millis(600)));
    assert_eq!(times.timeout(), millis(600));
}

/// Guards against targets that load weights and are taken for silent ones.
#[test]
fn a_target_that_refused_may_be_loading() {
    let mut contact = Contact::default();
    contact.record_refusal(at(100));
    assert!(contact.may_be_loading(at(2000)));
    assert!(!contact.may_be_loading(at(2100)));
    contact.record_refusal(at(3000));
    contact.record_event(at(3100));
    assert!(!contact.may_be_loading(at(3200)));
}

/// Guards against runs that a dark target holds for as long as a load of weights takes, against
/// runs that are broken off while their target loads or has only turned slow, and against a timeout
/// that is shorter than a host needs to find its own paths lost.
#[test]
fn a_run_stalls_after_many_usual_intervals() {
    let timeout = |interval: Option<u64>, may_pause| {
        stall_timeout(interval.map(Duration::from_millis), may_pause).as_millis()
    };
    assert_eq!(timeout(Some(48), false), 720);
    assert_eq!(timeout(Some(10), false), 600);
    assert_eq!(timeout(Some(200), false), 1800);
    assert_eq!(timeout(Some(48), true), 1800);
    assert_eq!(timeout(None, false), 1800);
}
