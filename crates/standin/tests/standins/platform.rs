use std::time::Duration;

use assert_matches::assert_matches;
use standin::platform::Platform;
use tamarackdock_platform::{
    Client, Error,
    host::{Host, Hosts, State},
    object::Store,
    order::{Action, Class, Order, Orders},
    report::Reports,
    table::{Commit, Condition, Table, Write},
};
use tamarackdock_types::{DataCentreName, HostName, TargetName, fence::Epoch};

use super::support::{SEED, pool, run, wait_until};

fn client(platform: &Platform, group: &str) -> Client {
    Client::new(platform.address(group).unwrap(), pool())
}

fn commit(operation: &str, conditions: &[(&str, u64)], writes: &[(&str, Option<&str>)]) -> Commit {
    let condition =
        |(key, revision): &(&str, u64)| Condition { key: (*key).into(), revision: *revision };
    let write = |(key, value): &(&str, Option<&str>)| Write {
        key: (*key).into(),
        value: value.map(Into::into),
    };
    Commit {
        operation: operation.into(),
        conditions: conditions.iter().map(condition).collect(),
        writes: writes.iter().map(write).collect(),
    }
}

/// Guards against commits that apply only a part of their writes, and against scans
/// with missing or additional rows or in a wrong order.
#[test]
fn commit_is_atomic_over_its_rows() {
    run(async {
        let platform = Platform::spawn(SEED, &["a"]).unwrap();
        let client = client(&platform, "a");
        let writes = [("t/2", Some("x")), ("t/1", Some("y")), ("u", Some("z"))];
        let revision =
            client.commit(commit("op1", &[("t/1", 0), ("t/2", 0)], &writes)).await.unwrap();
        let conditions = [("t/1", revision), ("t/2", revision + 7)];
        let lost = client.commit(commit("op2", &conditions, &[("t/1", None)])).await;
        assert_eq!(lost, Err(Error::Conflict { key: "t/2".into() }));
        let rows = client.scan("t/".into()).await.unwrap();
        let found: Vec<_> = rows.iter().map(|row| (row.key.as_str(), row.value.as_str())).collect();
        assert_eq!(found, [("t/1", "y"), ("t/2", "x")]);
        client.commit(commit("op3", &[("t/1", revision)], &[("t/1", None)])).await.unwrap();
        assert!(client.read(vec!["t/1".into()]).await.unwrap().is_empty());
        assert_eq!(platform.state().rates.total(), (2, 3));
    });
}

/// Guards against a lost response whose commit has no effect. Tests in which a node finds
/// its commit by reading back the operation id would then prove nothing.
#[test]
fn commit_takes_effect_when_its_response_is_lost() {
    run(async {
        let platform = Platform::spawn(SEED, &["a"]).unwrap();
        let client = client(&platform, "a");
        platform.state().faults.lose_next = 1;
        let lost = client.commit(commit("op1", &[("k", 0)], &[("k", Some("v"))])).await;
        assert_eq!(lost, Err(Error::Unknown));
        let rows = client.read(vec!["k".into()]).await.unwrap();
        assert_eq!(rows["k"].operation, "op1");
        let repeated = client.commit(commit("op1", &[("k", 0)], &[("k", Some("v"))])).await;
        assert_eq!(repeated, Err(Error::Conflict { key: "k".into() }));
        assert_eq!(platform.state().faults.lost_responses, 1);
    });
}

/// Guards against a share of lost responses that differs between runs with one seed.
#[test]
fn lost_share_follows_the_seed() {
    let losses = || {
        run(async {
            let platform = Platform::spawn(SEED, &["a"]).unwrap();
            let client = client(&platform, "a");
            platform.state().faults.lose_share = 0.5;
            let mut losses = Vec::new();
            for index in 0..32 {
                let key = index.to_string();
                losses.push(client.commit(commit("op", &[], &[(&key, Some("v"))])).await.is_err());
            }
            losses
        })
    };
    let first = losses();
    assert!(first.contains(&true) && first.contains(&false));
    assert_eq!(first, losses());
}

/// Guards against a cut of one group of clients that affects other groups, and against a
/// platform that loses its rows or addresses when it is up again.
#[test]
fn connections_are_refused_during_a_cut_or_an_outage_only() {
    run(async {
        let platform = Platform::spawn(SEED, &["a", "b"]).unwrap();
        let (a, b) = (client(&platform, "a"), client(&platform, "b"));
        a.commit(commit("op", &[], &[("k", Some("v"))])).await.unwrap();
        platform.set_cut_off("a", true);
        let address = platform.address("a").unwrap();
        wait_until("group a is refused", || std::net::TcpStream::connect(address).is_err()).await;
        assert_eq!(a.scan(String::new()).await, Err(Error::Unreachable));
        assert_eq!(b.scan(String::new()).await.unwrap().len(), 1);
        platform.set_down(true);
        let address = platform.address("b").unwrap();
        wait_until("group b is refused", || std::net::TcpStream::connect(address).is_err()).await;
        platform.set_down(false);
        wait_until("group b is back", || std::net::TcpStream::connect(address).is_ok()).await;
        assert_eq!(b.scan(String::new()).await.unwrap().len(), 1);
    });
}

/// Guards against a delay that is not applied. The timeout of the client shows that the
/// response is late, while the commit takes effect.
#[test]
fn delay_makes_the_outcome_unknown() {
    run(async {
        let platform = Platform::spawn(SEED, &["a"]).unwrap();
        let client = client(&platform, "a");
        platform.state().faults.delay = Duration::from_hours(1);
        let late = client.commit(commit("op", &[], &[("k", Some("v"))])).await;
        assert_eq!(late, Err(Error::Unknown));
        assert!(platform.state().table.get("k").is_some());
    });
}

/// Guards against orders that are not recorded, and against an epoch check that is
/// missing where it is switched on or applied where it is off.
#[test]
fn orders_check_epochs_only_where_switched_on() {
    run(async {
        let platform = Platform::spawn(SEED, &["a"]).unwrap();
        let client = client(&platform, "a");
        let [strict, lenient] = ["d1", "d2"].map(|name| DataCentreName::new(name).unwrap());
        platform.state().orders.checks_epoch.insert(strict.clone());
        platform.state().orders.unavailable.insert((lenient.clone(), Class::Cheap));
        let order = |epoch, class| Order {
            operation: format!("op{epoch}"),
            epoch: Epoch(epoch),
            target: TargetName::new("e1").unwrap(),
            action: Action::Start,
            class,
        };
        for data_centre in [&strict, &lenient] {
            Orders::send(&client, data_centre.clone(), order(5, Class::Ordinary)).await.unwrap();
        }
        let stale = Orders::send(&client, strict.clone(), order(4, Class::Ordinary)).await;
        assert_eq!(stale, Err(Error::StaleEpoch(Epoch(5))));
        Orders::send(&client, lenient.clone(), order(4, Class::Ordinary)).await.unwrap();
        let cheap = Orders::send(&client, lenient.clone(), order(6, Class::Cheap)).await;
        assert_eq!(cheap, Err(Error::Unavailable));
        assert_eq!(Orders::list(&client, strict).await.unwrap().len(), 1);
        let records = platform.state();
        let accepted: Vec<_> = records.orders.received().iter().map(|one| one.accepted).collect();
        assert_eq!(accepted, [true, true, false, true, false]);
    });
}

/// Guards against a report or object that can be sent again with other bytes.
#[test]
fn reports_and_objects_keep_their_first_bytes() {
    run(async {
        let platform = Platform::spawn(SEED, &["a"]).unwrap();
        let client = client(&platform, "a");
        for (bytes, is_same) in [("one", true), ("one", true), ("two", false)] {
            assert_eq!(Reports::send(&client, 7, bytes.into()).await.is_ok(), is_same);
            assert_eq!(client.put("x/y".into(), bytes.into()).await.is_ok(), is_same);
        }
        assert_eq!(client.get("x/y".into()).await.unwrap().unwrap(), "one");
        assert_eq!(client.get("x/z".into()).await, Ok(None));
        assert_eq!(platform.state().reports[&7], ["one", "one", "two"]);
    });
}

/// Guards against a host list that shows a change before its lag has passed.
#[test]
fn host_list_lags() {
    run(async {
        let platform = Platform::spawn(SEED, &["a"]).unwrap();
        let client = client(&platform, "a");
        let host = Host {
            name: HostName::new("h1").unwrap(),
            address: "127.0.0.1:7000".parse().unwrap(),
            data_centre: DataCentreName::new("d1").unwrap(),
            state: State::Live,
        };
        platform.state().hosts.lag = Duration::from_hours(1);
        platform.state().hosts.set(vec![host]);
        assert_matches!(Hosts::list(&client).await.as_deref(), Ok([]));
        platform.state().hosts.lag = Duration::ZERO;
        assert_matches!(Hosts::list(&client).await.as_deref(), Ok([_]));
    });
}
