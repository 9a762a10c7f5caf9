use std::{collections::BTreeSet, rc::Rc, time::Duration};

use tamarackdock_types::clock::Instant;

use super::{Fleet, MAX_TARGETS, Merged, Observed, Outbox, Rejection, Report, Speed, interval};

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn speed(event_interval_ms: f64, samples: u32, age_ms: u64) -> Speed {
    Speed { event_interval_ms, samples, age: Duration::from_millis(age_ms) }
}

fn observed(target: &str, running: u32, speed: Option<Speed>) -> Observed {
    let age = speed.map_or(Duration::ZERO, |speed| speed.age);
    Observed::new(target.into(), Some(1), running, speed, age)
}

fn report(host: &str, sequence: u64, targets: Vec<Observed>) -> Report {
    Report::new(host.into(), 7, sequence, targets)
}

fn is_live(_: &Rc<str>, run: u64) -> bool {
    run == 7
}

fn fleet(reports: impl IntoIterator<Item = Report>) -> Fleet {
    let mut fleet = Fleet::default();
    for report in reports {
        fleet.record(report, is_live, at(0)).unwrap();
    }
    fleet
}

fn merged(fleet: &Fleet, own: Option<Speed>, now: u64) -> Merged {
    fleet.merged("a", Some(1), own, at(now))
}

/// Guards against a target that looks free although other hosts use it, and against speeds of few
/// samples that count as much as those of many.
#[test]
fn requests_are_added_up_and_speeds_are_weighted_by_samples() {
    let fleet = fleet([
        report("x", 1, vec![observed("a", 3, Some(speed(40.0, 30, 0)))]),
        report("y", 1, vec![observed("a", 2, Some(speed(80.0, 10, 0))), observed("b", 9, None)]),
    ]);
    let found = merged(&fleet, None, 0);
    assert_eq!((found.others, found.reports), (5, 2));
    assert_eq!(found.event_interval_ms, Some(50.0));
    let with_own = merged(&fleet, Some(speed(50.0, 8, 0)), 0);
    assert_eq!(with_own.event_interval_ms, Some(50.0));
}

/// Guards against old reports that count as much as new ones, and against one that is forgotten at
/// once when the next one is lost.
#[test]
fn reports_lose_half_of_their_weight_each_two_seconds_and_end_after_ten() {
    let fleet = fleet([report("x", 1, vec![observed("a", 8, Some(speed(80.0, 16, 0)))])]);
    let own = Some(speed(40.0, 16, 0));
    let expected = [
        (0, 8, 60.0),
        (1_999, 8, 60.0),
        (2_000, 4, 40.0 + 40.0 / 3.0),
        (4_000, 2, 48.0),
        (9_999, 1, 40.0 + 40.0 / 17.0),
        (10_000, 0, 40.0),
    ];
    for (now, others, interval) in expected {
        let found = merged(&fleet, own, now);
        assert_eq!(found.others, others, "{now}");
        assert!((found.event_interval_ms.unwrap() - interval).abs() < 1e-9, "{now}: {found:?}");
    }
}

/// Guards against a host without reports that decides otherwise than before.
#[test]
fn a_host_without_reports_decides_by_its_own_observations() {
    let own = Some(speed(40.0, 1, 60_000));
    assert_eq!(merged(&Fleet::default(), own, 0).event_interval_ms, Some(40.0));
    assert_eq!(merged(&Fleet::default(), None, 0), Merged::default());
}

/// Guards against reports that are lost, late, repeated, or come from a process or a target run
/// that has ended, and that change more than the age of what is known.
#[test]
fn reports_that_are_out_of_date_change_nothing() {
    let mut fleet = fleet([report("x", 2, vec![observed("a", 3, None)])]);
    let late = |sequence| report("x", sequence, vec![observed("a", 9, None)]);
    assert_eq!(fleet.record(late(1), is_live, at(1)), Err(Rejection::Late));
    assert_eq!(fleet.record(late(2), is_live, at(1)), Err(Rejection::Late));
    let earlier_run = Report { run: 6, ..late(9) };
    assert_eq!(fleet.record(earlier_run, is_live, at(1)), Err(Rejection::NotLive));
    assert_eq!(merged(&fleet, None, 1).others, 3);
    assert_eq!(fleet.merged("a", Some(2), None, at(1)), Merged::default());
    // The next process of the host counts from one again.
    let next = Report { run: 8, ..report("x", 1, vec![observed("a", 1, None)]) };
    assert_eq!(fleet.record(next, |_, run| run == 8, at(1)), Ok(()));
    assert_eq!(merged(&fleet, None, 1).others, 1);
    fleet.retain(is_live, at(2));
    assert_eq!((fleet.hosts(), merged(&fleet, None, 2).others), (0, 0));
}

/// Guards against a report that takes the memory or time of a host, or hides a target, by numbers
/// out of all range.
#[test]
fn reports_are_bounded() {
    let many = (0..500).map(|target| {
        Observed::new(format!("t{target}").into(), None, 1, None, Duration::from_millis(target))
    });
    let report = report("x", 1, many.collect());
    assert_eq!(report.targets.len(), MAX_TARGETS);
    assert_eq!(&*report.targets[199].target, "t199");
    let odd = Observed { samples: u32::MAX, ..observed("a", u32::MAX, Some(speed(1e12, 1, 0))) };
    let fleet = fleet([self::report("y", 1, vec![odd])]);
    assert_eq!(merged(&fleet, None, 0).others, 1_000);
}

/// Guards against reports that are sent too often, or without need, or not again when they were
/// lost, and against a slow host that gets one after another.
#[test]
fn reports_are_sent_twice_a_second_when_something_changed() {
    let hosts: BTreeSet<Rc<str>> = ["x".into(), "y".into()].into();
    let mut outbox = Outbox::default();
    let due = |outbox: &mut Outbox, running, age, now| {
        let mut targets = vec![observed("a", running, None)];
        targets[0].age_ms = age;
        outbox.due(&targets, &hosts, at(now)).join(",")
    };
    assert_eq!(due(&mut outbox, 1, 0, 0), "x,y");
    outbox.answered(&"x".into(), true);
    assert_eq!(due(&mut outbox, 2, 0, 499), "");
    assert_eq!(due(&mut outbox, 1, 500, 500), "", "only the age has changed, and y is awaited");
    outbox.answered(&"y".into(), false);
    assert_eq!(due(&mut outbox, 1, 500, 500), "y", "its report was lost");
    assert_eq!(due(&mut outbox, 2, 0, 1_000), "x");
    outbox.answered(&"x".into(), true);
    // The report that y has got is not the newest one.
    outbox.answered(&"y".into(), true);
    assert_eq!(due(&mut outbox, 2, 0, 1_500), "y");
    assert!(outbox.rejected(&"y".into(), at(1_500)));
    assert_eq!(due(&mut outbox, 3, 0, 2_000), "x");
    outbox.answered(&"x".into(), true);
    assert_eq!(due(&mut outbox, 4, 0, 61_499), "x");
    assert_eq!(due(&mut outbox, 4, 0, 62_000), "y");
}

/// Guards against hosts that spend their processor on reports where many run jobs, and reports that
/// are too old to count before the next one comes.
#[test]
fn the_interval_grows_with_the_number_of_hosts() {
    let millis = [2, 5, 12, 69].map(|hosts| interval(hosts).as_millis());
    assert_eq!(millis, [500, 500, 500, 2875]);
}

/// What the items of a job that was taken over get from its new owner, which places each on the
/// target that seems fastest: when the last one ends, and the most items of both owners on one
/// target. A quarter of the targets run at 0.55 of the usual speed, and another host uses half of
/// them fully.
fn taken_over(fleet: Option<&Fleet>) -> (u64, u32) {
    const SLOTS: u32 = 6;
    const EVENTS: f64 = 128.0;
    let actual = |target: usize| if target.is_multiple_of(4) { 72.7 } else { 33.3 };
    let busy = |target: usize| if target % 2 == 1 { SLOTS } else { 0 };
    let mut own = [0_u32; 16];
    let mut last = 0.0_f64;
    for _ in 0..24 {
        // Without reports, a speed of 35 ms is assumed for all targets and nothing is known of
        // other hosts.
        let seen = |target: usize| {
            let found =
                fleet.map(|fleet| fleet.merged(&format!("t{target}"), Some(1), None, at(0)));
            let found = found.unwrap_or_default();
            (own[target] + found.others, found.event_interval_ms.unwrap_or(35.0))
        };
        let cost = |target: &usize| {
            let (running, interval) = seen(*target);
            interval * (1.0 + 0.028 * f64::from(running))
        };
        let free = (0..own.len()).filter(|target| seen(*target).0 < SLOTS);
        let best = free.min_by(|left, right| cost(left).total_cmp(&cost(right)));
        let Some(target) = best else { break };
        own[target] += 1;
        let all = own[target] + busy(target);
        let end = EVENTS * actual(target);
        // An item behind the slots waits for the end of another one.
        last = last.max(if all > SLOTS { 2.0 * end } else { end });
    }
    let most = (0..own.len()).map(|target| own[target] + busy(target)).max();
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    (last as u64, most.unwrap_or_default())
}

/// Guards against a new owner that places the long items of a step on slow or full targets, as it
/// did before hosts told each other what they observe.
#[test]
fn a_new_owner_places_items_better_than_with_the_baseline() {
    let reports = (0..16_usize).map(|target| {
        let interval = if target.is_multiple_of(4) { 72.7 } else { 33.3 };
        let running = if target % 2 == 1 { 6 } else { 0 };
        observed(&format!("t{target}"), running, Some(speed(interval, 20, 0)))
    });
    let fleet = fleet([report("x", 1, reports.collect())]);
    let (baseline, learned) = (taken_over(None), taken_over(Some(&fleet)));
    println!("taken over: {baseline:?}, {learned:?}");
    assert!(learned.0 < baseline.0);
    assert!(baseline.1 > 6 && learned.1 <= 6);
}
