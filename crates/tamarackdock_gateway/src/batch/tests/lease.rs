use std::time::Duration;

use proptest::prelude::*;
use slog::{Discard, Logger, o};
use tamarackdock_platform::table::{Batch, Change};

use super::at;
use crate::{
    batch::lease::Lease,
    members::{MemberTable, NodeRun, Row},
};

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Renews every 450 ms until `end`, with answers after 10 ms.
fn renew_until(lease: &mut Lease, begin: u64, end: u64) {
    for sent in (begin..end).step_by(450) {
        lease.send(millis(450), at(sent));
        lease.renew(millis(450), at(sent), at(sent + 10));
    }
}

/// Guards against reads of the store by an owner that renews its row as it should.
#[test]
fn a_lease_holds_while_it_is_renewed() {
    let mut lease = Lease::default();
    renew_until(&mut lease, 0, 450);
    lease.record_heads(at(20));
    for end in (450..60_000).step_by(450) {
        renew_until(&mut lease, end, end + 450);
        assert!(lease.holds(at(end + 449)), "{end}");
    }
}

/// Guards against an owner that trusts its first renewal after a pause, although others may have
/// taken its jobs over in the meantime.
#[test]
fn a_lease_that_ran_out_holds_once_the_heads_are_read() {
    let mut lease = Lease::default();
    lease.record_heads(at(5));
    renew_until(&mut lease, 0, 450);
    assert!(!lease.holds(at(20)), "the heads were read before the first renewal");
    assert!(lease.needs_heads());
    lease.record_heads(at(20));
    assert!(!lease.needs_heads());
    assert!(lease.holds(at(1_799)));
    assert!(!lease.holds(at(1_800)));
    renew_until(&mut lease, 5_000, 5_450);
    lease.record_heads(at(4_000));
    assert!(!lease.holds(at(5_020)));
    lease.record_heads(at(5_020));
    assert!(lease.holds(at(5_030)));
}

/// Guards against a lease that is counted from an earlier renewal, although a lost one may have
/// announced the next for sooner.
#[test]
fn a_lost_renewal_shortens_the_lease() {
    let mut lease = Lease::default();
    lease.renew(millis(3_000), at(0), at(10));
    lease.record_heads(at(20));
    assert!(lease.holds(at(9_000)));
    lease.send(millis(450), at(1_000));
    assert!(lease.holds(at(2_799)));
    assert!(!lease.holds(at(2_800)));
}

/// What becomes of a renewal that is sent.
#[derive(Debug, Clone, Copy)]
struct Renewal {
    pause: u64,
    announced: u64,
    effect: u64,
    answer: u64,
    has_effect: bool,
    is_answered: bool,
}

fn renewal() -> impl Strategy<Value = Renewal> {
    let announced = prop_oneof![Just(450), Just(450), Just(3_000)];
    let fields = (1_u64..2_500, announced, 0_u64..300, 0_u64..1_200, any::<[bool; 2]>());
    fields.prop_map(|(pause, announced, effect, answer, [lost, effective])| Renewal {
        pause,
        announced,
        effect: effect.min(answer),
        answer,
        has_effect: !lost || effective,
        is_answered: !lost,
    })
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Send { announced: u64 },
    Effect { announced: u64 },
    Answer { announced: u64, sent: u64 },
    Poll { sent: u64 },
    Read,
}

/// Returns the times of a repeated call from the pauses before each.
fn times(pauses: &[u64]) -> impl Iterator<Item = u64> {
    pauses.iter().scan(0, |time, pause| {
        *time += pause;
        Some(*time)
    })
}

fn row(announced: u64, revision: u64) -> Change {
    let row = Row {
        number: 1,
        peers: "127.0.0.1:1".parse().unwrap(),
        data_centre: "x".into(),
        wall_offset_ms: 0,
        leaving: false,
        paths_lost: false,
        renewal: millis(announced),
        millicores: None,
        limits: Vec::new(),
    };
    Change { key: "a".into(), revision, value: serde_json::to_string(&row).ok() }
}

proptest! {
    /// Guards against a lease that holds although another node may have taken the jobs over, with
    /// renewals that are late or lost, and a reader of members that is late as well.
    #[test]
    fn no_other_node_takes_over_during_a_lease(
        renewals in prop::collection::vec(renewal(), 1..20),
        reads in prop::collection::vec(50_u64..1_900, 1..60),
        polls in prop::collection::vec(20_u64..3_000, 1..40),
    ) {
        let mut events: Vec<(u64, Event)> = times(&reads).map(|time| (time, Event::Read)).collect();
        events.extend(times(&polls).zip(&polls).map(|(time, wait)| {
            (time, Event::Poll { sent: time - wait })
        }));
        let mut time = 0;
        for renewal in &renewals {
            let Renewal { pause, announced, effect, answer, has_effect, is_answered } = *renewal;
            let sent = time + pause;
            time = sent + answer;
            events.push((sent, Event::Send { announced }));
            events.extend(has_effect.then_some((sent + effect, Event::Effect { announced })));
            events.extend(is_answered.then_some((time, Event::Answer { announced, sent })));
        }
        events.sort_unstable();
        let own = NodeRun { host: "a".into(), number: 1 };
        let log = Logger::root(Discard, o!());
        let (mut lease, mut table) = (Lease::default(), MemberTable::default());
        let (mut stored, mut gone, mut polled) = (None, None, 0);
        for (now, event) in events {
            match event {
                Event::Send { announced } => lease.send(millis(announced), at(now)),
                Event::Effect { announced } => {
                    stored = Some(row(announced, stored.map_or(1, |row: Change| row.revision + 1)));
                }
                Event::Answer { announced, sent } => {
                    lease.renew(millis(announced), at(sent), at(now));
                }
                Event::Poll { sent } => {
                    polled = sent;
                    lease.record_heads(at(sent));
                }
                Event::Read => {
                    let batch = Batch { changes: stored.iter().cloned().collect(), revision: 0 };
                    table.update(&batch, at(now), &log);
                    gone = if table.address(&own).is_none() { Some(now) } else { gone };
                }
            }
            let may_be_taken = gone.is_some_and(|gone| polled <= gone);
            prop_assert!(!(lease.holds(at(now)) && may_be_taken), "at {now}, gone at {gone:?}");
        }
    }
}
