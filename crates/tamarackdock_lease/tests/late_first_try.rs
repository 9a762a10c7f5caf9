//! A write whose first attempt takes effect after the row was read back.

mod support;

use std::collections::BTreeMap;

use tamarackdock_lease::{Action, Input, Lease, OperationIds};
use tamarackdock_platform::{
    Error,
    table::{Commit, Row},
};
use tamarackdock_types::{HostName, clock::Instant};

fn commit(actions: &[Action]) -> (u64, Commit) {
    let found = actions.iter().find_map(|action| match action {
        Action::Commit { request, commit } => Some((*request, commit.clone())),
        _ => None,
    });
    found.expect("a commit is sent")
}

fn read(actions: &[Action], rows: BTreeMap<String, Row>) -> Input {
    let found = actions.iter().find_map(|action| match action {
        Action::Read { request, .. } => Some(*request),
        _ => None,
    });
    Input::Read { request: found.expect("a read is sent"), result: Ok(rows) }
}

/// Guards against a lease whose validity counts from the second attempt of a write. The first
/// attempt, sent earlier, may be the one that took effect, and candidates may take the row
/// that much earlier.
#[test]
fn validity_counts_from_the_first_try() {
    let holder = HostName::new("h1").unwrap();
    let mut lease =
        Lease::new("config", holder, None, support::timing(), OperationIds::new("h1", 1));
    let mut step = |time, input| lease.step(Instant::from_millis(time), input);

    let actions = step(1000, Input::Acquire);
    let (request, first) = commit(&step(1000, read(&actions, BTreeMap::new())));
    step(1100, Input::Committed { request, result: Err(Error::Unknown) });
    let actions = step(1300, Input::Tick);
    let (request, second) = commit(&step(1500, read(&actions, BTreeMap::new())));
    assert_eq!(first, second);

    let key = "lease/config".to_owned();
    let result = Err(Error::Conflict { key: key.clone() });
    let actions = step(1600, Input::Committed { request, result });
    let value = first.writes[0].value.clone().unwrap();
    let row = Row { key: key.clone(), revision: 1, value, operation: first.operation };
    step(1700, read(&actions, BTreeMap::from([(key, row)])));
    assert_eq!(lease.held().unwrap().valid_until(), Instant::from_millis(2900));
}
