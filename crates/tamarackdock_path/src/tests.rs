use std::{collections::BTreeSet, rc::Rc, time::Duration};

use proptest::prelude::*;
use tamarackdock_types::clock::Instant;

use crate::{Doubt, Forwarders, Paths, Refusal, Route, SILENCE};

const MS: fn(u64) -> Instant = Instant::from_millis;

fn target(number: usize) -> Rc<str> {
    format!("t{number}").into()
}

/// Returns paths that were found lost at a time.
fn lost(at: u64) -> Paths {
    let mut paths = Paths::default();
    assert!(paths.begin_check(Doubt::Unopened { began: MS(at) }, MS(at)));
    assert!(paths.checked(false, MS(at)));
    paths
}

/// Guards against requests that go on to be sent into lost paths.
#[test]
fn requests_are_forwarded_while_the_paths_are_lost() {
    let mut paths = lost(100);
    assert_eq!(paths.route(&target(1), MS(101)), Route::Forwarded);
    assert_eq!(paths.route(&target(1), MS(60_000)), Route::Forwarded);
}

/// Guards against detours, and against connections for checks, because one target is dead.
#[test]
fn a_dead_target_is_no_loss_of_the_paths() {
    let mut paths = Paths::default();
    assert!(paths.begin_check(Doubt::Unopened { began: MS(100) }, MS(100)));
    assert!(!paths.begin_check(Doubt::Unopened { began: MS(101) }, MS(101)), "one at a time");
    assert!(!paths.checked(true, MS(105)));
    assert_eq!(paths.route(&target(1), MS(106)), Route::Direct);
    assert!(!paths.begin_check(Doubt::Unopened { began: MS(190) }, MS(200)), "just found open");
    paths.opened(&target(2), MS(600));
    assert!(!paths.begin_check(Doubt::Unopened { began: MS(550) }, MS(700)), "another one opened");
    assert!(paths.begin_check(Doubt::Unopened { began: MS(700) }, MS(700)));
}

/// Guards against a check at each pause of a target while others send events, and against checks
/// without end while all targets load weights.
#[test]
fn silence_is_checked_only_if_no_target_is_heard() {
    let mut paths = Paths::default();
    paths.heard(MS(500));
    assert!(!paths.begin_check(Doubt::Silent, MS(750)));
    let mut checks = 0;
    for at in (1_000..9_000).step_by(50) {
        if paths.begin_check(Doubt::Silent, MS(at)) {
            checks += 1;
            paths.checked(true, MS(at + 5));
        }
    }
    assert!((3..=6).contains(&checks), "{checks} checks");
}

/// Guards against a target that is blamed for a connection that broke when the paths were lost,
/// because a check had found them open just before; and against a check for each of many
/// connections that break at once.
#[test]
fn a_break_is_checked_by_a_check_that_began_after_it() {
    let mut paths = Paths::default();
    assert!(paths.begin_check(Doubt::Silent, MS(1_000)));
    assert!(!paths.begin_check(Doubt::Broken { at: MS(1_002) }, MS(1_002)));
    paths.checked(true, MS(1_005));
    assert!(paths.begin_check(Doubt::Broken { at: MS(1_002) }, MS(1_005)));
    paths.checked(true, MS(1_010));
    assert!(!paths.begin_check(Doubt::Broken { at: MS(1_003) }, MS(1_010)));
}

/// Guards against a request that can't be sent again and hangs on an idle connection, at a host
/// that had no traffic since its paths were lost.
#[test]
fn only_a_recent_contact_proves_an_open_connection() {
    let mut paths = Paths::default();
    assert!(!paths.are_proven(MS(0)));
    paths.heard(MS(100));
    assert!(paths.are_proven(MS(1_099)) && !paths.are_proven(MS(1_100)));
}

/// Guards against a loss that goes unnoticed because open connections live on while new ones are
/// refused.
#[test]
fn events_do_not_refute_refused_connections() {
    let mut paths = Paths::default();
    paths.opened(&target(1), MS(10));
    paths.heard(MS(100));
    assert!(paths.begin_check(Doubt::Unopened { began: MS(90) }, MS(101)));
}

/// Guards against a host that tries lost paths again because an open connection lives on.
#[test]
fn responses_over_open_connections_do_not_end_a_loss() {
    let mut paths = lost(100);
    paths.responded(&target(1), MS(200));
    assert_eq!(paths.route(&target(1), MS(201)), Route::Forwarded);
}

/// Guards against a burst of connections when many hosts get their paths back at once, and
/// against detours that go on after that.
#[test]
fn each_target_is_tried_by_one_request_after_a_loss() {
    let mut paths = lost(0);
    assert!(paths.opened(&target(1), MS(5_000)));
    assert!(!paths.are_lost());
    assert_eq!(paths.route(&target(1), MS(5_001)), Route::Direct);
    assert_eq!(paths.route(&target(2), MS(5_002)), Route::Direct);
    assert_eq!(paths.route(&target(2), MS(5_003)), Route::Forwarded);
    paths.opened(&target(2), MS(5_010));
    assert_eq!(paths.route(&target(2), MS(5_011)), Route::Direct);
    assert_eq!(paths.route(&target(3), MS(5_012)), Route::Direct);
    assert_eq!(paths.route(&target(3), MS(6_000)), Route::Direct);
}

/// Guards against requests that are sent to hosts that can't forward them, and against hosts that
/// are never asked again.
#[test]
fn hosts_that_refuse_are_asked_later() {
    let mut forwarders = Forwarders::default();
    let near: Vec<Rc<str>> = (0..4).map(target).collect();
    let far: Vec<Rc<str>> = (10..20).map(target).collect();
    let chosen = |forwarders: &Forwarders, now| {
        let near = forwarders.choose(near.clone(), true, |host| host, now);
        let far = forwarders.choose(far.clone(), false, |host| host, now);
        [near, far].concat()
    };
    assert_eq!(chosen(&forwarders, MS(0)), [0, 1, 10, 11, 12].map(target));
    forwarders.refused(&target(0), Refusal::Lost, MS(0));
    forwarders.refused(&target(1), Refusal::Full, MS(0));
    forwarders.refused(&target(10), Refusal::Failed, MS(0));
    forwarders.refused(&target(11), Refusal::Declined, MS(0));
    assert_eq!(chosen(&forwarders, MS(1)), [2, 3, 11, 12, 13].map(target));
    assert_eq!(chosen(&forwarders, MS(500)), [1, 2, 11, 12, 13].map(target));
    assert_eq!(chosen(&forwarders, MS(1_500)), [0, 1, 11, 12, 13].map(target));
    forwarders.exhausted(MS(2_000));
    assert!(forwarders.are_exhausted(MS(2_001)) && !forwarders.are_exhausted(MS(2_200)));
    assert_eq!(chosen(&forwarders, MS(6_000)), [0, 1, 10, 11, 12].map(target));
}

/// A small world: a host that sends a request every 20 ms to one of six targets, of which some
/// are dead, and whose own paths are cut for a while.
struct World {
    dead: BTreeSet<usize>,
    cut: std::ops::Range<u64>,
}

impl World {
    fn opens(&self, target: usize, at: u64) -> bool {
        !self.dead.contains(&target) && !self.cut.contains(&at)
    }

    /// Plays 20 s and returns the requests by time, target and route.
    fn play(&self) -> Vec<(u64, usize, Route)> {
        let mut paths = Paths::default();
        let mut check_ends: Option<(u64, bool)> = None;
        let mut requests = Vec::new();
        for at in (0..20_000).step_by(20) {
            let now = MS(at);
            if let Some((ends, opened)) = check_ends.filter(|(ends, _)| *ends <= at) {
                paths.checked(opened, MS(ends));
                check_ends = None;
            }
            let step = usize::try_from(at / 20).unwrap();
            let probed = [step / 20 % 6, (step / 20 + 3) % 6];
            let is_probed = step % 20 == 0 && paths.are_lost();
            for probed in probed.into_iter().filter(|it| is_probed && self.opens(*it, at)) {
                paths.opened(&target(probed), now);
            }
            let number = step % 6;
            let route = paths.route(&target(number), now);
            requests.push((at, number, route));
            match route {
                Route::Direct if self.opens(number, at) => {
                    paths.opened(&target(number), now);
                    paths.heard(now);
                }
                Route::Direct if paths.begin_check(Doubt::Unopened { began: now }, now) => {
                    let others = (0..6).filter(|other| *other != number);
                    let opened = others.take(5).any(|other| self.opens(other, at));
                    check_ends = Some((at + if opened { 5 } else { 250 }, opened));
                }
                _ => {}
            }
        }
        requests
    }
}

proptest! {
    /// Guards against requests that are sent into lost paths for longer than half a second, that
    /// are forwarded for longer than two seconds after the paths are back, or that are forwarded
    /// although the paths were never lost.
    #[test]
    fn the_route_follows_the_paths(
        dead in prop::collection::btree_set(0_usize..6, 0..3),
        cut in (1_000_u64..8_000, 1_000_u64..8_000).prop_map(|(from, length)| from..from + length),
    ) {
        let world = World { dead, cut: cut.clone() };
        for (at, number, route) in world.play() {
            let is_late = at >= cut.start + 500 && at < cut.end;
            let is_back = at >= cut.end + 2_000;
            if is_late {
                prop_assert_eq!(route, Route::Forwarded, "{} to {}", at, number);
            } else if at < cut.start || is_back {
                prop_assert_eq!(route, Route::Direct, "{} to {}", at, number);
            }
        }
    }

    /// Guards against a check without end, and against one that begins while the paths are lost.
    #[test]
    fn a_check_begins_once(times in prop::collection::vec(0_u64..2_000, 1..40)) {
        let mut times = times;
        times.sort_unstable();
        let mut paths = Paths::default();
        for time in times {
            let at = MS(time) + SILENCE;
            let began = paths.begin_check(Doubt::Silent, at);
            prop_assert!(!(began && paths.are_lost()));
            if began {
                let again = paths.begin_check(Doubt::Broken { at }, at);
                prop_assert!(!again);
                paths.checked(time % 2 == 0, at + Duration::from_millis(5));
            }
        }
    }
}
