use super::{at, list, registration};
use crate::target::{Registration, TargetList};

/// Guards against requests to a target whose row was removed while the store is
/// available.
#[test]
fn a_removed_entry_is_dropped_at_once() {
    let mut list = list([registration("a", "x")]);
    list.remove("a", false, at(0));
    assert!(list.get("a").is_none());
}

/// Guards against refusing all calls after an outage of the store in which the rows of
/// all targets expired, and against keeping targets that do not register again.
#[test]
fn targets_removed_after_an_outage_get_a_grace_period() {
    let mut list = list([registration("a", "x"), registration("b", "x")]);
    list.retain(&[], true, at(1_000));
    assert_eq!(list.iter().count(), 2);
    list.register(registration("a", "x"), at(2_000));
    list.expire(at(3_000));
    assert!(list.get("a").is_some(), "registered again");
    assert!(list.get("b").is_none(), "gone");
}

/// Guards against a grace period that starts again with each response of the store.
#[test]
fn the_grace_period_is_not_prolonged() {
    let mut list = list([registration("a", "x")]);
    list.retain(&[], true, at(1_000));
    list.retain(&[], true, at(2_500));
    list.expire(at(2_800));
    assert!(list.get("a").is_none());
}

/// Guards against keeping a target that was draining before its row was removed.
#[test]
fn a_draining_target_has_no_grace_period() {
    let mut entry = registration("a", "x");
    entry.draining = true;
    let mut list = list([entry]);
    list.remove("a", true, at(0));
    assert!(list.get("a").is_none());
}

/// Guards against a burst of calls to targets that turned cold while their data centre
/// was evacuated: rows written before its return still say that they are warm.
#[test]
fn targets_of_a_returned_data_centre_count_as_cold() {
    let mut list = list([registration("a", "x"), registration("b", "y")]);
    list.presume_cold("x", at(4_000));
    list.register(registration("a", "x"), at(1_000));
    let cold: Vec<bool> = list.iter().map(|target| target.is_cold(at(3_999))).collect();
    assert_eq!(cold, [true, false]);
    assert!(!list.get("a").unwrap().is_cold(at(4_000)));
}

/// Guards against requests to a target that has said in an answer that it leaves, while its row
/// still says that it is ready, or is gone and comes back.
#[test]
fn a_target_that_leaves_by_its_answers_stays_draining() {
    let entry = registration("a", "x");
    let mut list = list([entry.clone()]);
    assert!(list.depart(&entry, at(0)));
    assert!(!list.depart(&entry, at(1)), "known");
    let draining = |list: &TargetList| list.get("a").unwrap().registration.draining;
    assert!(draining(&list));
    list.register(entry.clone(), at(2));
    assert!(draining(&list), "the row is still that of a ready target");
    list.remove("a", false, at(3));
    list.depart(&registration("b", "x"), at(4));
    list.register(entry, at(5));
    assert!(draining(&list), "the row was gone for a while");
}

/// Guards against a target that is never used again because an earlier run under its id, or
/// another target at its address, has left.
#[test]
fn another_run_of_a_target_that_left_is_used() {
    let run = |started| Registration { started: Some(started), ..registration("a", "x") };
    let mut list = list([run(1), registration("b", "x")]);
    list.depart(&run(1), at(0));
    list.register(run(2), at(1));
    list.depart(&run(1), at(2));
    let draining: Vec<bool> = list.iter().map(|target| target.registration.draining).collect();
    assert_eq!(draining, [false, false]);
}

/// Guards against a stream that goes on at a target that has started again with other software,
/// while its entry still names the one before, and against one that can't go on although the
/// target was up all the while.
#[test]
fn a_refused_connection_puts_the_software_in_doubt_until_the_entry_is_written_again() {
    let entry = |started| Registration { started: Some(started), ..registration("a", "x") };
    let is_doubted = |list: &TargetList| list.get("a").unwrap().may_have_restarted();
    let mut targets = list([entry(1)]);
    assert!(targets.doubt(&entry(1)));
    assert!(!targets.doubt(&entry(1)), "known");
    targets.register(entry(1), at(100));
    assert!(is_doubted(&targets), "the entry may have been written before the crash");
    targets.register(entry(1), at(500));
    assert!(!is_doubted(&targets), "the same run goes on to write");
    targets.doubt(&entry(1));
    targets.register(entry(2), at(900));
    assert!(!is_doubted(&targets), "the entry is that of another run");
    assert!(!targets.doubt(&entry(1)), "an earlier run refused");
    targets.doubt(&entry(2));
    targets.forget_doubts();
    assert!(!is_doubted(&targets));
}
