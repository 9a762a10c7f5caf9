use std::time::Duration;

use super::{at, list, registration};
use crate::{
    balance::{LimitState, NodeRank, Requirements, TargetLoads, choose},
    continuation::Beginnings,
    deployment::Service,
    target::{Registration, Software},
};

fn software(version: &str) -> Software {
    Software { service: "app".into(), version: version.into() }
}

/// Guards against a memory that grows with each stream, and against one that forgets a stream
/// which was taken up a short time ago.
#[test]
fn streams_are_forgotten_after_their_last_use() {
    let mut beginnings = Beginnings::default();
    beginnings.record(1, software("v1"), at(0));
    beginnings.record(2, software("v2"), at(0));
    beginnings.record(1, software("v1"), at(100_000));
    beginnings.record(3, software("v1"), at(130_000));
    assert_eq!(beginnings.get(1, at(130_000)), Some(software("v1")));
    assert_eq!(beginnings.get(2, at(130_000)), None);
    assert_eq!(beginnings.get(1, at(220_000)), None);
}

/// Guards against a memory without a bound when callers begin streams all the time.
#[test]
fn the_number_of_remembered_streams_is_bounded() {
    let mut beginnings = Beginnings::default();
    (0..21_000).for_each(|key| beginnings.record(key, software("v1"), at(5)));
    let known = (0..21_000).filter(|key| beginnings.get(*key, at(5)).is_some());
    assert_eq!(known.count(), 20_000);
}

/// Guards against a stream that goes on at a target of another software version because the
/// others are farther, slower or suspected.
#[test]
fn a_stream_goes_on_at_the_software_that_began_it() {
    let newer = Registration { software_version: "v2".into(), ..registration("near", "x") };
    let list = list([newer, registration("far", "y")]);
    let mut loads = TargetLoads::default();
    loads.start(&"far".into(), at(0));
    loads.mark_suspect("far", at(0));
    let chosen = |version: &str| {
        let requirements = Requirements {
            service: "app",
            data_centre: "x",
            software: Some(&software(version)),
            tried: &[],
            reserved_slots: 0,
            node_rank: &|_| NodeRank { rank: 0, nodes: 1 },
            limit: &|_| LimitState::default(),
        };
        let service = Service::default();
        let target = choose(&requirements, list.iter(), &loads, &service, |_| false, at(1))?;
        Some(target.registration.id.to_string())
    };
    assert_eq!(["v1", "v2", "v3"].map(chosen), [Some("far".into()), Some("near".into()), None]);
}

/// Guards against a stream of unknown origin that is taken for one of the only version that is
/// left, although another one served a short time ago.
#[test]
fn versions_are_remembered_after_their_targets_are_gone() {
    let mut list = list([registration("old", "x")]);
    list.remove("old", false, at(10));
    let newer = Registration { software_version: "v2".into(), ..registration("new", "x") };
    list.register(newer, at(60_000));
    let versions = |now| {
        let within = Duration::from_mins(2);
        list.software_versions("app", within, at(now))
            .map(|name| name.to_string())
            .collect::<Vec<_>>()
    };
    assert_eq!(versions(60_000), ["v1", "v2"]);
    assert_eq!(versions(125_000), ["v2"]);
}
