//! The limit of loads in progress and the time of the first report.

use std::time::Duration;

use tamarackdock_types::clock::Instant;
use tamarackdock_weights::wave::{Finished, Pace};

const TARGETS: usize = 70;

fn finished(accepted: u64, millis: u64, is_first: bool) -> Finished {
    let at = Instant::from_millis;
    Finished { accepted: at(accepted), reported: at(accepted + millis), is_first }
}

/// Records loads that are all accepted at one time and end after the same time.
fn record(pace: &mut Pace, accepted: u64, millis: u64, loads: usize) {
    (0..loads)
        .for_each(|left| pace.record(finished(accepted, millis, false), TARGETS, loads - left));
}

/// Guards against a limit that is too high before anything is known, or above a fifth of the
/// targets ever.
#[test]
fn the_limit_grows_from_a_sixth_to_a_fifth() {
    let mut pace = Pace::default();
    assert_eq!([0, 9, 70, 200].map(|targets| pace.limit(targets)), [2, 2, 11, 33]);
    // A wave that is smaller than the limit tells nothing.
    record(&mut pace, 0, 900, 10);
    assert_eq!(pace.limit(TARGETS), 11);
    // One for each wave, however many loads it has.
    for (wave, limit) in [12, 13, 14, 14].into_iter().enumerate() {
        record(&mut pace, (wave as u64 + 1) * 1300, [900, 1260][wave % 2], 14);
        assert_eq!(pace.limit(TARGETS), limit);
    }
    assert_eq!([0, 20].map(|targets| pace.limit(targets)), [2, 4]);
}

/// Guards against a limit that is reduced once for each of the loads that slowed each other down,
/// or below two.
#[test]
fn the_limit_shrinks_in_proportion_once_a_wave() {
    let mut pace = Pace::default();
    (0..7).for_each(|wave| record(&mut pace, wave * 1000, 900, 14));
    assert_eq!(pace.limit(TARGETS), 14);
    record(&mut pace, 7000, 1400, 14);
    assert_eq!(pace.limit(TARGETS), 9);
    record(&mut pace, 8400, 9000, 1);
    assert_eq!(pace.limit(TARGETS), 2);
}

/// Guards against a limit that stays low when loads have become slower for another reason: they
/// become the usual ones.
#[test]
fn durations_are_forgotten() {
    let mut pace = Pace::default();
    record(&mut pace, 0, 900, 7);
    (1..=2).for_each(|wave| record(&mut pace, wave * 3000, 2000, 14));
    assert_eq!(pace.limit(TARGETS), 2);
    (3..=20).for_each(|wave| record(&mut pace, wave * 3000, 2000, 14));
    assert_eq!(pace.limit(TARGETS), 14);
    assert_eq!(pace.first_report(), Duration::from_secs(2));
}

/// Guards against reports that are requested long before a load can have ended or long after, and
/// against a usual duration that can't become shorter, as loads are seen to end only when asked.
#[test]
fn the_first_report_is_requested_after_the_usual_duration() {
    let mut pace = Pace::default();
    assert_eq!(pace.first_report(), Duration::from_millis(850));
    record(&mut pace, 0, 950, 9);
    assert_eq!(pace.first_report(), Duration::from_millis(950));
    let mut now = 1000;
    while pace.first_report() > Duration::from_millis(500) {
        let first = u64::try_from(pace.first_report().as_millis()).unwrap();
        pace.record(finished(now, first, true), TARGETS, 1);
        now += first;
        assert!(now < 200_000, "the usual duration does not become shorter");
    }
    record(&mut pace, now, 100, 40);
    assert_eq!(pace.first_report(), Duration::from_millis(500));
}
