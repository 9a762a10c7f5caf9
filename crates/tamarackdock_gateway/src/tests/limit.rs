use std::time::Duration;

use proptest::prelude::*;

use super::{at, registration};
use crate::limit::{
    Bucket, Demand, Grant, Notice, Observation, TargetLimits,
    permits::{Limiter, PermitRequest},
};

const ID: &str = "a";

fn spacing(rate: f64) -> Duration {
    Observation::named(rate, 0).and_then(|observation| observation.spacing).unwrap()
}

fn request(demand: Demand, wanted: u32) -> PermitRequest {
    PermitRequest {
        target: ID.into(),
        started: None,
        observation: None,
        demand,
        wanted,
        longest_wait: Duration::ZERO,
    }
}

/// Guards against a value that is no rate and passes as one, and against a target that gets no
/// request any more, so that the end of its limit is never seen.
#[test]
fn rates_are_turned_into_spacings() {
    let spacings = [4.0, 1.0, 0.05, 0.0, -1.0, f64::NAN, f64::INFINITY]
        .map(|rate| Observation::named(rate, 7).and_then(|observation| observation.spacing));
    insta::assert_debug_snapshot!(spacings);
}

/// Guards against an answer without a limit that was on its way when the limit was named, and
/// ends it.
#[test]
fn only_a_request_sent_after_a_limit_was_named_ends_it() {
    let target = registration(ID, "x");
    let mut limits = TargetLimits::default();
    let mut record = |observation| {
        let changed = limits.record(&target.id, None, observation);
        (changed, limits.is_limited(&target))
    };
    let named = Observation::named(2.0, 1_000).unwrap();
    assert_eq!(record(named), (true, true));
    assert_eq!(record(Observation::unlimited(900)), (false, true));
    assert_eq!(record(Observation::unlimited(1_001)), (true, false));
    assert_eq!(record(named), (false, false));
}

/// Guards against a node that has just started and sends a step's items to a target whose limit
/// the others know, and against rows that are written again with each answer.
#[test]
fn limits_are_told_to_other_nodes() {
    let target = registration(ID, "x");
    let mut limits = TargetLimits::default();
    limits.record(&target.id, None, Observation::named(4.7, 1_000).unwrap());
    let notices = limits.notices(|_| true);
    let encoded = serde_json::to_string(&notices).unwrap();
    assert_eq!(serde_json::from_str::<Vec<Notice>>(&encoded).unwrap(), notices);
    assert!(!limits.record(&target.id, None, Observation::named(4.7, 3_000).unwrap()));
    assert_eq!(limits.notices(|_| true), notices);
    assert_eq!(limits.notices(|_| false), []);
    let mut others = TargetLimits::default();
    for notice in &notices {
        assert!(others.record(&notice.target, notice.started, notice.observation));
    }
    assert!(others.is_limited(&target));
    limits.record(&target.id, None, Observation::unlimited(4_000));
    assert_ne!(limits.notices(|_| true), notices, "the end of the limit");
}

/// Guards against a limit of an earlier run that binds a target after its restart.
#[test]
fn a_limit_binds_one_run_of_a_target() {
    let mut target = registration(ID, "x");
    let mut limits = TargetLimits::default();
    limits.record(&target.id, Some(1), Observation::named(2.0, 1_000).unwrap());
    target.started = Some(1);
    assert!(limits.is_limited(&target));
    target.started = Some(2);
    assert!(!limits.is_limited(&target));
}

/// Guards against a limit that is forgotten while the store has lost the target's row, and
/// against limits of targets that are gone for good.
#[test]
fn limits_outlast_the_rows_of_their_targets() {
    let target = registration(ID, "x");
    let mut limits = TargetLimits::default();
    limits.record(&target.id, None, Observation::named(2.0, 1_000).unwrap());
    limits.sweep(|_| false, 60_000);
    assert!(limits.is_limited(&target));
    limits.sweep(|_| true, 700_000);
    assert!(limits.is_limited(&target));
    limits.sweep(|_| false, 700_000);
    assert!(!limits.is_limited(&target));
}

/// Guards against permits for items that are used twice, or long after they were granted.
#[test]
fn permits_for_items_are_used_once_and_expire() {
    let target = registration(ID, "x");
    let mut limits = TargetLimits::default();
    assert_eq!(limits.allowed_items(&target, at(0)), u32::MAX);
    limits.record(&target.id, None, Observation::named(2.0, 1).unwrap());
    assert_eq!(limits.allowed_items(&target, at(0)), 0);
    assert!(limits.begin_asking(&target, at(0)));
    assert!(!limits.begin_asking(&target, at(0)), "asked twice at a time");
    let grant = Grant { count: 2, retry_after: Duration::from_millis(500), ..Grant::default() };
    limits.end_asking(ID, grant, at(10));
    limits.use_permit(ID);
    assert_eq!(limits.allowed_items(&target, at(20)), 1);
    assert_eq!(limits.allowed_items(&target, at(400)), 0, "an old permit");
    assert!(!limits.begin_asking(&target, at(400)) && limits.begin_asking(&target, at(510)));
}

/// Guards against a permit that makes a call wait longer than it can.
#[test]
fn a_permit_is_refused_at_once_if_it_would_come_too_late() {
    let mut bucket = Bucket::default();
    let mut grant = |wait| {
        bucket.grant(Demand::Calls, spacing(2.0), 1, Duration::from_millis(wait), at(10_000))
    };
    insta::assert_debug_snapshot!([grant(0), grant(100), grant(250), grant(2_000)]);
}

proptest! {
    /// Guards against a limiter and its deputy that grant more in some 4 s than one and a half
    /// times the limit and five more, whatever they are asked, and that grant far less.
    #[test]
    fn permits_keep_to_the_limit(
        rate in 0.2_f64..200.0,
        asks in prop::collection::vec(
            (0_u64..120, 0_u32..40, 0_usize..2, any::<bool>()),
            100..500,
        ),
    ) {
        let limiters = [Limiter::default(), Limiter::default()];
        let mut now = 1_000;
        let mut sent: Vec<u64> = Vec::new();
        for (pause, wanted, rank, is_call) in asks {
            now += pause;
            let demand = if is_call { Demand::Calls } else { Demand::Batch };
            let request = request(demand, wanted);
            // Some nodes ask the deputy, as they can't reach the limiter.
            let grant = limiters[rank].grant(&request, spacing(rate), rank, at(now));
            sent.extend((0..grant.count).map(|_| now));
        }
        #[allow(clippy::cast_precision_loss)]
        for (index, start) in sent.iter().enumerate() {
            let count = sent[index..].iter().filter(|at| **at < start + 4_000).count();
            prop_assert!(count as f64 <= 6.0 * rate + 5.0, "{count} at {rate}/s");
        }
    }

    /// Guards against a step that gets no permits because callers ask far more often.
    #[test]
    fn both_kinds_of_requests_get_their_part(rate in 1.0_f64..50.0) {
        let limiter = Limiter::default();
        let grant = |demand, tick: u64| {
            limiter.grant(&request(demand, 1), spacing(rate), 0, at(1_000 + tick)).count
        };
        let batch: u32 = (0..2_000)
            .map(|tick| {
                grant(Demand::Calls, tick * 5);
                if tick % 10 == 0 { grant(Demand::Batch, tick * 5) } else { 0 }
            })
            .sum();
        prop_assert!(f64::from(batch) >= rate.min(20.0) * 4.0, "{batch} in 10 s at {rate}/s");
    }

    /// Guards against a limiter that grants far less than the limit to those who keep asking.
    #[test]
    fn permits_use_the_limit(rate in 0.5_f64..100.0) {
        let limiter = Limiter::default();
        let granted: u32 = (0..1_000)
            .map(|tick| {
                let now = at(1_000 + tick * 10);
                limiter.grant(&request(Demand::Batch, 1), spacing(rate), 0, now).count
            })
            .sum();
        prop_assert!(f64::from(granted) >= rate * 9.0, "{granted} in 10 s at {rate}/s");
    }
}
