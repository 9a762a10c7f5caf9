//! A holder that is killed and started again. The first run holds the lease from 1,000 ms on and
//! is killed at 1,500 ms, when the second one starts.

mod support;

use std::collections::BTreeMap;

use tamarackdock_lease::{Action, HolderRow, Input, Lease, OperationIds};
use tamarackdock_platform::{
    Error,
    table::{Commit, Row},
};
use tamarackdock_types::{HostName, clock::Instant, fence::Epoch};

const LEASE: &str = "lease/duties";
const HOLDER: &str = "holder/duties";
const EPOCH: &str = "epoch/duties";
const ADDRESS: Option<&str> = Some("10.0.0.1:7000");
const KILLED: u64 = 1500;
const END: u64 = 6000;
/// Time after its renewal at which a row can be taken by other candidates.
const TERM: u64 = 2100;
/// Time for which the orders of an earlier epoch are waited for: 300 ms of the send window,
/// 200 ms of the delivery and 100 ms of the margin.
const QUIET: u64 = 600;

#[derive(Default)]
struct Table {
    rows: BTreeMap<String, Row>,
    revision: u64,
}

impl Table {
    fn read(&self, keys: &[String]) -> BTreeMap<String, Row> {
        keys.iter().filter_map(|key| Some((key.clone(), self.rows.get(key)?.clone()))).collect()
    }

    fn commit(&mut self, commit: &Commit) -> Result<u64, Error> {
        for condition in &commit.conditions {
            let known = self.rows.get(&condition.key).map_or(0, |row| row.revision);
            if known != condition.revision {
                return Err(Error::Conflict { key: condition.key.clone() });
            }
        }
        self.revision += 1;
        for write in &commit.writes {
            let (key, value) = (write.key.clone(), write.value.clone().unwrap());
            let operation = commit.operation.clone();
            let row = Row { key: key.clone(), revision: self.revision, value, operation };
            self.rows.insert(key, row);
        }
        Ok(self.revision)
    }
}

/// When and how a run got the lease.
#[derive(Debug, PartialEq, Eq)]
struct Acquisition {
    at: u64,
    epoch: Epoch,
    /// From when on it may send orders.
    acts_from: u64,
}

struct Run {
    lease: Lease,
    actions: Vec<Action>,
}

impl Run {
    fn start(host: &str, address: Option<&str>, random: u64) -> Self {
        let address = address.map(|address| address.parse().unwrap());
        let ids = OperationIds::new(host, random);
        let host = HostName::new(host).unwrap();
        let lease = Lease::new("duties", host, address, support::timing(), ids);
        Self { lease, actions: Vec::new() }
    }

    fn step(&mut self, time: u64, input: Input) {
        self.actions = self.lease.step(Instant::from_millis(time), input);
    }

    /// Carries out the last action if it is a request. `reads_fail` fails reads.
    fn answer(&mut self, time: u64, table: &mut Table, reads_fail: bool) {
        let input = match self.actions.pop() {
            Some(Action::Read { request, .. }) if reads_fail => {
                Input::Read { request, result: Err(Error::Unknown) }
            }
            Some(Action::Read { request, keys }) => {
                Input::Read { request, result: Ok(table.read(&keys)) }
            }
            Some(Action::Commit { request, commit }) => {
                Input::Committed { request, result: table.commit(&commit) }
            }
            _ => Input::Tick,
        };
        self.step(time, input);
    }

    fn acts(&self, time: u64) -> bool {
        let now = Instant::from_millis(time);
        self.lease
            .held()
            .is_some_and(|held| held.permit(now).is_some() && held.old_orders_expired(now))
    }

    /// Runs until the lease is held and orders may be sent.
    fn acquire(&mut self, table: &mut Table, from: u64, reads_fail_until: u64) -> Acquisition {
        self.step(from, Input::Acquire);
        self.run_on(table, from, reads_fail_until)
    }

    /// Goes on until the lease is held and orders may be sent.
    fn run_on(&mut self, table: &mut Table, from: u64, reads_fail_until: u64) -> Acquisition {
        let mut acquired = None;
        for time in (from..END).step_by(10) {
            self.answer(time, table, time < reads_fail_until);
            if let Some(held) = self.lease.held() {
                let (at, epoch) = *acquired.get_or_insert((time, held.epoch()));
                if self.acts(time) {
                    return Acquisition { at, epoch, acts_from: time };
                }
            }
        }
        panic!("the lease was not acquired");
    }
}

/// Returns a first run that holds the lease and the table that it has written.
fn first_run(address: Option<&str>) -> (Run, Table) {
    let (mut run, mut table) = (Run::start("h1", address, 1), Table::default());
    let acquired = run.acquire(&mut table, 1000, 0);
    assert_eq!((acquired.at, acquired.epoch), (1010, Epoch(1)));
    (run, table)
}

/// Asserts that a run gets the lease only when any other candidate would.
fn assert_waits(mut run: Run, mut table: Table) {
    let acquired = run.acquire(&mut table, KILLED, 0);
    assert!(acquired.at >= KILLED + TERM, "{acquired:?}");
    assert_eq!(acquired.epoch, Epoch(2));
}

/// Guards against duties that rest for the term of a lease whose holder has terminated, and against
/// orders of the successor that overtake those of the first run.
#[test]
fn a_restarted_holder_takes_its_lease_at_once() {
    let (_, mut table) = first_run(ADDRESS);
    let acquired = Run::start("h1", ADDRESS, 2).acquire(&mut table, KILLED, 0);
    let at = KILLED + 10;
    assert_eq!(acquired, Acquisition { at, epoch: Epoch(2), acts_from: at + QUIET });
    let holder = HolderRow::decode(&table.rows[HOLDER].value);
    assert_eq!(
        holder,
        Some(HolderRow { epoch: Epoch(2), address: ADDRESS.unwrap().parse().unwrap() })
    );
}

/// Guards against a pause after an outage that is meant for a holder that may still exist.
#[test]
fn a_restarted_holder_takes_its_lease_as_soon_as_it_can_read() {
    let (_, mut table) = first_run(ADDRESS);
    let acquired = Run::start("h1", ADDRESS, 2).acquire(&mut table, KILLED, KILLED + 100);
    assert!(acquired.at <= KILLED + 100 + 200 + 10, "{acquired:?}");
}

/// Guards against a replaced host with the old name that takes the lease of a process that may
/// only be paused.
#[test]
fn another_address_waits() {
    let (_, table) = first_run(ADDRESS);
    assert_waits(Run::start("h1", Some("10.0.0.2:7000"), 2), table);
}

/// Guards against a host that takes the lease of another one which used its address before.
#[test]
fn another_host_waits() {
    let (_, table) = first_run(ADDRESS);
    assert_waits(Run::start("h2", ADDRESS, 2), table);
}

/// Guards against a lease that is taken from a release that does not bind its address exclusively:
/// it writes no row of its address, or leaves that of an earlier epoch.
#[test]
fn a_missing_older_or_malformed_address_waits() {
    let old = HolderRow { epoch: Epoch(0), address: ADDRESS.unwrap().parse().unwrap() };
    for value in [None, Some(old.encode()), Some("{}".into())] {
        let (_, mut table) = first_run(ADDRESS);
        match value {
            Some(value) => table.rows.get_mut(HOLDER).unwrap().value = value,
            None => drop(table.rows.remove(HOLDER)),
        }
        assert_waits(Run::start("h1", ADDRESS, 2), table);
    }
}

/// Guards against other rows or reads of processes without an exclusive address, which must work as
/// before.
#[test]
fn without_an_address_nothing_changes() {
    let (_, table) = first_run(ADDRESS);
    let mut run = Run::start("h1", None, 2);
    assert_eq!(run.lease.keys(), [LEASE]);
    assert!(!run.lease.can_resume());
    run.step(KILLED, Input::Acquire);
    assert_eq!(run.actions, [Action::Read { request: 1, keys: vec![LEASE.into()] }]);
    assert_waits(Run::start("h1", None, 2), table);
    let (_, table) = first_run(None);
    assert_eq!(table.rows.keys().collect::<Vec<_>>(), [EPOCH, LEASE]);
    assert_waits(Run::start("h1", ADDRESS, 2), table);
}

/// Guards against a process that takes its own lease again, or one that was released, as if it
/// had held it before.
#[test]
fn own_and_released_rows_are_not_of_an_earlier_run() {
    let (mut run, mut table) = first_run(ADDRESS);
    let second = Run::start("h1", ADDRESS, 2);
    assert!(!run.lease.is_held_by_earlier_run(&table.rows));
    assert!(second.lease.is_held_by_earlier_run(&table.rows));
    run.step(1100, Input::Release);
    (0..3).for_each(|_| run.answer(1100, &mut table, false));
    assert!(run.lease.is_idle());
    assert!(!second.lease.is_held_by_earlier_run(&table.rows));
}

/// Guards against a renewal of the first run that arrives late and gives it the lease again, or
/// keeps the second one from it.
#[test]
fn a_late_renewal_of_the_first_run_has_no_effect() {
    // The renewal is due 633 ms after the acquisition and is sent in the step before.
    for arrives_late in [true, false] {
        let (mut first, mut table) = first_run(ADDRESS);
        first.step(1700, Input::Tick);
        let Some(Action::Commit { commit: renewal, .. }) = first.actions.pop() else {
            panic!("no renewal was sent");
        };
        let mut second = Run::start("h1", ADDRESS, 2);
        second.step(1700, Input::Acquire);
        second.answer(1700, &mut table, false);
        if !arrives_late {
            // Between the second run's read and its write.
            table.commit(&renewal).unwrap();
        }
        let acquired = second.run_on(&mut table, 1700, 0);
        assert!(acquired.at <= 1740, "{acquired:?}");
        assert_eq!(acquired.epoch, Epoch(2));
        table.commit(&renewal).unwrap_err();
        assert!(second.acts(acquired.acts_from));
    }
}
