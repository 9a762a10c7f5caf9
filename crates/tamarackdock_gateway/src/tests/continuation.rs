use super::{at, list, registration};
use crate::{
    balance::{LimitState, NodeRank, Requirements, TargetLoads, choose},
    continuation::{
        Beginnings,
        ledger::{Group, Ledger, Row},
    },
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
            can_go_on: false,
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

fn add(ledger: &mut Ledger, streams: std::ops::Range<u64>, version: &str, now: u64) {
    streams.for_each(|stream| ledger.add(stream, &software(version), at(now)));
}

/// Returns the number of each row that is due, and of its streams; `None` if it is removed.
fn due(ledger: &Ledger, now: u64) -> Vec<(u64, Option<usize>)> {
    let count = |groups: Vec<Group>| groups.iter().map(|group| group.streams.len()).sum();
    let changes = ledger.changes(at(now)).into_iter();
    changes.map(|change| (change.number, change.groups.map(count))).collect()
}

fn write(ledger: &mut Ledger, now: u64) {
    let changes = ledger.changes(at(now));
    ledger.confirm(&changes);
}

/// Guards against a write for each stream, and against streams that are added during a write and
/// never written.
#[test]
fn streams_are_written_together() {
    let mut ledger = Ledger::default();
    add(&mut ledger, 0..7, "v1", 0);
    add(&mut ledger, 7..9, "v2", 100);
    assert_eq!(due(&ledger, 200), [(0, Some(9))]);
    let changes = ledger.changes(at(200));
    add(&mut ledger, 9..10, "v1", 201);
    ledger.confirm(&changes);
    assert_eq!(due(&ledger, 400), [(0, Some(10))]);
    write(&mut ledger, 400);
    assert_eq!(due(&ledger, 600), []);
    add(&mut ledger, 10..11, "v1", 10_000);
    assert_eq!(due(&ledger, 10_000), [(1, Some(1))]);
}

/// Guards against streams that are lost because the store did not take them at first, and
/// against rows that stay for ever.
#[test]
fn rows_are_written_until_taken_and_removed_in_the_end() {
    let mut ledger = Ledger::default();
    add(&mut ledger, 0..3, "v1", 0);
    add(&mut ledger, 3..4, "v1", 20_000);
    assert_eq!(due(&ledger, 30_000), [(0, Some(3)), (1, Some(1))]);
    write(&mut ledger, 30_000);
    assert_eq!(due(&ledger, 130_000), [(0, None)]);
    write(&mut ledger, 130_000);
    assert_eq!(due(&ledger, 150_000), [(1, None)]);
}

/// Guards against rows beyond the store's bound, and against a ledger that grows while the store
/// takes nothing.
#[test]
fn the_ledger_is_bounded() {
    let mut ledger = Ledger::default();
    add(&mut ledger, 0..50_000, "v1", 0);
    let rows = due(&ledger, 0);
    assert_eq!(rows.len(), 20);
    for change in ledger.changes(at(0)) {
        let row = Row { written_ms: i64::MAX, groups: change.groups.unwrap_or_default() };
        assert!(serde_json::to_string(&row).unwrap().len() <= 32 * 1024);
    }
}

/// Guards against a row that can't be read back.
#[test]
fn rows_are_read_back() {
    let group = Group { software: software("v1"), streams: vec![0, u64::MAX] };
    let row = Row { written_ms: 5, groups: vec![group] };
    let text = serde_json::to_string(&row).unwrap();
    insta::assert_snapshot!(text);
    assert_eq!(serde_json::from_str::<Row>(&text).unwrap(), row);
}
