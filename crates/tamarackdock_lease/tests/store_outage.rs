//! An outage of the store that is longer than the lease.

mod support;

use std::collections::BTreeMap;

use tamarackdock_lease::{Action, Input, Lease, OperationIds};
use tamarackdock_platform::{
    Error,
    table::{Commit, Row},
};
use tamarackdock_types::{HostName, clock::Instant};

const KEY: &str = "lease/duties";

struct Candidate {
    lease: Lease,
    actions: Vec<Action>,
}

impl Candidate {
    fn new(name: &str) -> Self {
        let holder = HostName::new(name).unwrap();
        let lease =
            Lease::new("duties", holder, None, support::timing(), OperationIds::new(name, 1));
        Self { lease, actions: Vec::new() }
    }

    fn step(&mut self, time: u64, input: Input) {
        self.actions = self.lease.step(Instant::from_millis(time), input);
    }

    /// Serves the read or commit of the last step, or fails it if there is no table.
    fn answer(&mut self, time: u64, table: Option<&mut BTreeMap<String, Row>>) {
        let Some(action) = self.actions.pop() else { return };
        let input = match (action, table) {
            (Action::Read { request, .. }, Some(table)) => {
                Input::Read { request, result: Ok(table.clone()) }
            }
            (Action::Read { request, .. }, None) => {
                Input::Read { request, result: Err(Error::Unknown) }
            }
            (Action::Commit { request, commit }, Some(table)) => {
                Input::Committed { request, result: write(table, &commit) }
            }
            (Action::Commit { request, .. }, None) => {
                Input::Committed { request, result: Err(Error::Unknown) }
            }
            _ => return,
        };
        self.step(time, input);
    }

    fn holds(&self, time: u64) -> bool {
        let now = Instant::from_millis(time);
        self.lease.held().is_some_and(|held| held.permit(now).is_some())
    }
}

fn write(table: &mut BTreeMap<String, Row>, commit: &Commit) -> Result<u64, Error> {
    let revision = table.get(KEY).map_or(0, |row| row.revision);
    if commit.conditions[0].revision != revision {
        return Err(Error::Conflict { key: KEY.into() });
    }
    let value = commit.writes[0].value.clone().unwrap();
    let operation = commit.operation.clone();
    let row = Row { key: KEY.into(), revision: revision + 1, value, operation };
    table.insert(KEY.into(), row);
    Ok(revision + 1)
}

/// Simulates two candidates through an outage from 3,000 to 8,000 ms. The first one holds the
/// lease and stops at `lives_until`. Returns the time from which each one holds the lease after
/// the outage.
fn play(lives_until: u64) -> [Option<u64>; 2] {
    let mut table = BTreeMap::new();
    let mut both = [Candidate::new("h1"), Candidate::new("h2")];
    let mut since = [None, None];
    for (index, candidate) in both.iter_mut().enumerate() {
        candidate.step(1000 + index as u64 * 100, Input::Acquire);
    }
    // The second candidate acts first in each step, as if its timer expired first.
    for time in (1000..12_000).step_by(10) {
        for index in [1, 0] {
            let up = !(3000..8000).contains(&time);
            if index == 0 && time >= lives_until || time < 1000 + index as u64 * 100 {
                continue;
            }
            both[index].answer(time, up.then_some(&mut table));
            if both[index].actions.is_empty() {
                both[index].step(time, Input::Tick);
            }
            if time >= 8000 && both[index].holds(time) {
                since[index].get_or_insert(time);
            }
        }
    }
    since
}

/// Guards against a lease that changes its holder in each outage of the store: the new
/// holder would have to wait until orders of the previous one can no longer arrive.
#[test]
fn the_holder_keeps_the_lease_after_an_outage() {
    insta::assert_debug_snapshot!(play(u64::MAX));
}

/// Guards against a lease that nobody takes after its holder died during an outage.
#[test]
fn another_takes_the_lease_of_a_holder_that_died_in_an_outage() {
    insta::assert_debug_snapshot!(play(5000));
}
