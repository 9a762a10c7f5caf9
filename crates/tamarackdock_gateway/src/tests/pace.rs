use std::time::Duration;

use tamarackdock_route::pace::{Cause, Turn};

use super::{at, list, registration};
use crate::{
    balance::{LimitState, NodeRank, Requirements, TargetLoads, choose},
    deployment::{Name, Service},
    target::Registration,
};

const USUAL: Option<Duration> = Some(Duration::from_millis(70));

fn adaptive() -> TargetLoads {
    let mut loads = TargetLoads::default();
    loads.set_adaptive(true);
    loads
}

fn allowed(loads: &TargetLoads, now: u64) -> Option<u32> {
    loads.get("a").allowed_by_pace(0, at(now))
}

/// Guards against everything that waits being sent to a target once it accepted one probe, and
/// against a change of deployments that do not learn the pace.
#[test]
fn a_target_that_refused_is_probed_by_a_growing_number_of_requests() {
    let target: Name = "a".into();
    let mut loads = adaptive();
    let mut fixed = TargetLoads::default();
    for loads in [&mut loads, &mut fixed] {
        loads.start(&target, at(0));
        loads.end("a");
        loads.mark_full("a", at(0));
    }
    assert_eq!((loads.get("a").allowed_probes(), allowed(&loads, 150)), (None, Some(1)));
    assert_eq!((fixed.get("a").allowed_probes(), allowed(&fixed, 150)), (Some(1), None));
    loads.start(&target, at(150));
    loads.record_accepted("a", None, at(155));
    assert_eq!(allowed(&loads, 160), Some(0), "an answer without an event tells nothing");
    loads.record_response(&target, at(150), USUAL, 4, at(220));
    assert_eq!(allowed(&loads, 220), Some(1));
    loads.start(&target, at(220));
    loads.record_response(&target, at(220), USUAL, 4, at(290));
    assert_eq!(allowed(&loads, 290), None);
    let changes: Vec<_> = loads.take_pace_changes().iter().map(|change| change.cause).collect();
    assert_eq!(changes, [Some(Cause::Refused), None]);
}

/// Guards against targets of which a node that starts knows nothing and that it holds back, and
/// against new runs of targets that get everything at once.
#[test]
fn targets_ramp_when_they_appear() {
    let started = |id: &str, started| Registration { started, ..registration(id, "x") };
    let appeared = |loads: &mut TargetLoads, entries: &[Registration]| -> Vec<String> {
        let appeared = loads.observe_entries(entries.iter(), 10_000);
        appeared.iter().map(|entry| entry.id.to_string()).collect()
    };
    let mut loads = adaptive();
    assert_eq!(appeared(&mut loads, &[]), Vec::<String>::new());
    let old = started("old", Some(4_000));
    let young = started("young", Some(6_000));
    let silent = started("silent", None);
    assert_eq!(appeared(&mut loads, &[old.clone(), young.clone(), silent.clone()]), ["young"]);
    let again = started("old", Some(9_000));
    assert_eq!(appeared(&mut loads, &[again.clone(), young]), ["old"]);
    assert_eq!(appeared(&mut loads, &[again, silent]), ["silent"]);
    loads.mark_appeared(&"a".into(), Turn::default(), at(0));
    assert_eq!(allowed(&loads, 0), Some(1));
    loads.forget_failures();
    assert_eq!(allowed(&loads, 0), None);
}

/// Guards against calls that go to a target that ramps while another one is well, and against
/// calls that are refused because no other one is.
#[test]
fn calls_use_a_target_that_ramps_last() {
    let list = list([registration("a", "x"), registration("b", "y")]);
    let mut loads = adaptive();
    let chosen = |loads: &TargetLoads, tried: &[Name]| {
        let requirements = Requirements {
            service: "app",
            data_centre: "x",
            software: None,
            can_go_on: false,
            tried,
            reserved_slots: 0,
            node_rank: &|_| NodeRank { rank: 0, nodes: 1 },
            limit: &|_| LimitState::default(),
        };
        let service = Service::default();
        let target = choose(&requirements, list.iter(), loads, &service, |_| false, at(200));
        target.map(|target| target.registration.id.to_string())
    };
    loads.mark_appeared(&"a".into(), Turn::default(), at(0));
    assert_eq!(chosen(&loads, &[]).as_deref(), Some("a"));
    loads.start(&"a".into(), at(200));
    assert_eq!(chosen(&loads, &[]).as_deref(), Some("b"));
    assert_eq!(chosen(&loads, &["b".into()]).as_deref(), Some("a"));
}
