use std::time::Duration;

use proptest::prelude::*;

use super::{at, list, registration};
use crate::{
    balance::{
        ITEMS_SHARE, LimitState, NodeRank, Requirements, Sender, TargetLoads, choose, cold_share,
    },
    deployment::{Name, Service},
    origin::Origin,
    target::{Registration, TargetList},
};

const ALONE: NodeRank = NodeRank { rank: 0, nodes: 1 };

fn chosen(
    list: &TargetList,
    loads: &TargetLoads,
    tried: &[Name],
    out: &str,
    now: u64,
) -> Option<String> {
    let service = Service { cold_rate: 16.0, ..Service::default() };
    let requirements = Requirements {
        service: "app",
        data_centre: "x",
        software: None,
        can_go_on: false,
        tried,
        reserved_slots: 0,
        node_rank: &|_| ALONE,
        limit: &|_| LimitState::default(),
    };
    let is_out = |data_centre: &str| data_centre == out;
    let target = choose(&requirements, list.iter(), loads, &service, is_out, at(now))?;
    Some(target.registration.id.to_string())
}

fn two_targets() -> TargetList {
    list([registration("far", "y"), registration("near", "x")])
}

/// Guards against calls to another data centre while the node's own one has a usable target.
#[test]
fn the_own_data_centre_comes_first() {
    assert_eq!(
        chosen(&two_targets(), &TargetLoads::default(), &[], "", 0).as_deref(),
        Some("near")
    );
}

/// Guards against calls that wait at a full target while another one has free slots.
#[test]
fn a_full_target_is_passed_over() {
    let mut loads = TargetLoads::default();
    (0..4).for_each(|_| loads.start(&"near".into(), at(0)));
    assert_eq!(chosen(&two_targets(), &loads, &[], "", 0).as_deref(), Some("far"));
    loads.end("near");
    assert_eq!(chosen(&two_targets(), &loads, &[], "", 0).as_deref(), Some("near"));
}

/// Guards against calls that keep going to a target that does not respond, and
/// against a target that is never used again after it recovers.
#[test]
fn a_suspected_target_is_used_last_for_a_while() {
    let mut loads = TargetLoads::default();
    loads.start(&"near".into(), at(0));
    loads.mark_suspect("near", at(0));
    assert_eq!(chosen(&two_targets(), &loads, &[], "", 1_000).as_deref(), Some("far"));
    assert_eq!(chosen(&two_targets(), &loads, &["far".into()], "", 1_000).as_deref(), Some("near"));
    assert_eq!(chosen(&two_targets(), &loads, &[], "", 3_000).as_deref(), Some("near"));
}

/// Guards against calls to draining targets, to evacuated data centres and to targets
/// that the call was already sent to.
#[test]
fn unusable_targets_are_not_chosen() {
    let draining = Registration { draining: true, ..registration("near", "x") };
    let list = list([draining, registration("far", "y")]);
    assert_eq!(chosen(&list, &TargetLoads::default(), &[], "", 0).as_deref(), Some("far"));
    assert_eq!(chosen(&list, &TargetLoads::default(), &[], "y", 0), None);
    assert_eq!(chosen(&list, &TargetLoads::default(), &["far".into()], "", 0), None);
}

/// Guards against a cold target that gets more calls in a second than its rate allows.
#[test]
fn a_cold_target_gets_its_share_only() {
    let cold = Registration { cold_left: Duration::from_secs(9), ..registration("near", "x") };
    let list = list([cold]);
    let mut loads = TargetLoads::default();
    let started = (0..1_000)
        .filter(|now| {
            let free = chosen(&list, &loads, &[], "", *now).is_some();
            if free {
                loads.start(&"near".into(), at(*now));
                loads.end("near");
            }
            free
        })
        .count();
    assert_eq!(started, 6, "0.4 of a rate of 16 a second");
}

proptest! {
    /// Guards against nodes that each keep to the rate but exceed it together.
    #[test]
    fn all_nodes_together_keep_to_the_rate(rate in 0.0_f64..60.0, nodes in 1_usize..400) {
        let sum = |rate: f64| -> usize {
            (0..nodes).map(|rank| cold_share(rate, NodeRank { rank, nodes })).sum()
        };
        let started = sum(rate * 0.4) + sum(rate * ITEMS_SHARE);
        prop_assert!(f64::from(u32::try_from(started).unwrap()) <= rate * 1.5 + 5.0);
    }
}

/// Guards against a target that seems slow because a load of weights paused its
/// streams.
#[test]
fn a_long_gap_does_not_count_for_the_event_interval() {
    let mut loads = TargetLoads::default();
    loads.start(&"near".into(), at(0));
    (0..9).for_each(|_| loads.record_event_gap("near", Duration::from_millis(40)));
    loads.record_event_gap("near", Duration::from_millis(900));
    assert_eq!(loads.get("near").event_interval_ms, Some(40.0));
}

/// Guards against calls that need permits, or wait for them in vain, while other targets have
/// room, and against calls that wait in vain while a suspected target could take them.
#[test]
fn limited_targets_are_used_last() {
    let list = list(
        ["far", "near", "other"].map(|id| registration(id, if id == "near" { "x" } else { "y" })),
    );
    let chosen = |withheld: &[&str], spared: &[&str], loads: &TargetLoads| {
        let requirements = Requirements {
            service: "app",
            data_centre: "x",
            software: None,
            can_go_on: false,
            tried: &["other".into()],
            reserved_slots: 0,
            node_rank: &|_| ALONE,
            limit: &|target| LimitState {
                is_withheld: withheld.contains(&&*target.id),
                is_spared: spared.contains(&&*target.id),
            },
        };
        let service = Service::default();
        let target = choose(&requirements, list.iter(), loads, &service, |_| false, at(1))?;
        Some(target.registration.id.to_string())
    };
    let mut loads = TargetLoads::default();
    assert_eq!(chosen(&[], &["near"], &loads).as_deref(), Some("far"));
    assert_eq!(chosen(&["near"], &["far"], &loads).as_deref(), Some("far"));
    loads.start(&"far".into(), at(0));
    loads.mark_suspect("far", at(0));
    assert_eq!(chosen(&["near"], &["far"], &loads).as_deref(), Some("far"));
}

/// Guards against scoring calls that take the last slots of targets from urgent calls.
#[test]
fn calls_that_leave_slots_free_are_not_sent_to_a_target_without_one() {
    let service = Service::default();
    let chosen = |loads: &TargetLoads, reserved_slots| {
        let list = list([registration("a", "x")]);
        let requirements = Requirements {
            service: "app",
            data_centre: "x",
            software: None,
            can_go_on: false,
            tried: &[],
            reserved_slots,
            node_rank: &|_| ALONE,
            limit: &|_| LimitState::default(),
        };
        choose(&requirements, list.iter(), loads, &service, |_| false, at(0)).is_some()
    };
    let slots = registration("a", "x").slots;
    let mut loads = TargetLoads::default();
    for _ in 1..slots {
        assert!(chosen(&loads, 1));
        loads.start(&"a".into(), at(0));
    }
    assert_eq!((chosen(&loads, 1), chosen(&loads, 0)), (false, true));
}

/// Guards against a burst of items to a target that refuses all of them, as it does while it
/// loads weights.
#[test]
fn a_target_that_refuses_is_probed_by_one_request_at_a_time() {
    let target: Name = "a".into();
    let mut loads = TargetLoads::default();
    let probes = |loads: &TargetLoads| loads.get("a").allowed_probes();
    loads.start(&target, at(0));
    loads.start(&target, at(0));
    assert_eq!(probes(&loads), None);
    for now in [1, 200, 400] {
        loads.mark_full("a", at(now));
        loads.end("a");
        assert_eq!(probes(&loads), Some(1));
        loads.start(&target, at(now + 150));
        assert_eq!(probes(&loads), Some(0));
    }
    loads.record_accepted("a", None, at(600));
    assert_eq!(probes(&loads), None);
}

/// Guards against calls that a target always refuses, such as those with prompts that exceed its
/// memory, and that keep items and scoring calls from it.
#[test]
fn a_refusal_counts_for_requests_of_its_kind() {
    let engine = Registration { versions: [("m".into(), 1)].into(), ..registration("a", "x") };
    let mut loads = TargetLoads::default();
    loads.set_adaptive(true);
    let avoided = |loads: &TargetLoads, now| {
        [Sender::Caller, Sender::Scoring, Sender::Item]
            .map(|sender| loads.get("a").is_avoided_by(sender, at(now)))
    };
    loads.start(&engine.id, at(0));
    loads.refuse_call(&engine, Origin::Caller, at(0));
    assert_eq!(avoided(&loads, 100), [true, false, false]);
    assert_eq!(loads.get("a").allowed_by_pace(0, at(100)), None);
    loads.refuse_call(&engine, Origin::Scoring, at(60));
    assert_eq!(avoided(&loads, 170), [false, true, false]);
    loads.mark_full("a", at(200));
    assert_eq!(avoided(&loads, 300), [false, false, true]);
    assert!(loads.get("a").is_avoided(at(300)), "calls take other targets first");
}
