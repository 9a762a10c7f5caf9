use std::time::Duration;

use tamarackdock_types::{TargetName, clock::Instant};

use super::{Entry, Quarantine};

const SPAN: Duration = Duration::from_mins(1);

/// Guards against a request that crashes target after target, against one that is
/// quarantined after a single crash, and against entries that never expire.
#[test]
fn two_crashed_targets_quarantine_a_request() {
    let at = |seconds: u64| Instant::from_millis(seconds * 1000);
    let target = |name: &str| TargetName::new(name).expect("a valid name");
    let (first, second) = (target("t1"), target("t2"));
    let mut quarantine = Quarantine::new(SPAN);
    quarantine.start(1, &first, at(0));
    quarantine.start(2, &first, at(0));
    quarantine.finish(2, &first);
    assert_eq!(quarantine.record_crash(&first, at(0)), []);
    quarantine.start(1, &first, at(0));
    assert_eq!(quarantine.record_crash(&first, at(1)), [], "the same target counts once");
    assert!(!quarantine.is_quarantined(1, at(1)));
    quarantine.start(1, &second, at(1));
    quarantine.start(2, &second, at(1));
    let entry = Entry { fingerprint: 1, remaining: SPAN };
    assert_eq!(quarantine.record_crash(&second, at(2)), [entry]);
    assert!(quarantine.is_quarantined(1, at(61)) && !quarantine.is_quarantined(2, at(3)));
    assert!(!quarantine.is_quarantined(1, at(62)));
    let mut other = Quarantine::new(SPAN);
    other.merge(entry, at(10));
    other.merge(Entry { remaining: Duration::from_secs(5), ..entry }, at(11));
    assert!(other.is_quarantined(1, at(69)) && !other.is_quarantined(1, at(70)));
    quarantine.start(3, &first, at(99));
    quarantine.record_crash(&first, at(100));
    quarantine.start(3, &second, at(160));
    assert_eq!(quarantine.record_crash(&second, at(161)), [], "the first crash has expired");
}

/// Guards against equal requests that are quarantined because several targets are
/// lost at once, as when the cheap targets of a data centre are reclaimed.
#[test]
fn targets_that_vanish_together_quarantine_nothing() {
    let at = |seconds: u64| Instant::from_millis(seconds * 1000);
    let targets = ["t1", "t2", "t3"].map(|name| TargetName::new(name).expect("a valid name"));
    let mut quarantine = Quarantine::new(SPAN);
    for target in &targets {
        quarantine.start(1, target, at(1));
    }
    for target in &targets {
        assert_eq!(quarantine.record_crash(target, at(2)), []);
    }
    assert!(!quarantine.is_quarantined(1, at(2)));
    quarantine.start(1, &targets[1], at(3));
    assert_eq!(quarantine.record_crash(&targets[1], at(4)).len(), 1, "a later crash counts");
}
