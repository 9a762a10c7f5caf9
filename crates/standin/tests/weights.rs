//! Runs nodes on stand-ins and checks the loads that the engines record.

mod support;

use std::{collections::BTreeMap, net::TcpStream, time::Duration};

use standin::{
    engine,
    trainer::Watch,
    world::{self, World},
};
use support::{SEED, until};
use tamarackdock_types::weight::Version;

fn world(checks_epoch: bool) -> World {
    println!("seed {SEED:#x}");
    let load_time = Duration::from_millis(200);
    let engine = engine::Options { checks_epoch, load_time, ..engine::Options::default() };
    World::spawn(world::Options { seed: SEED, engine, ..world::Options::default() }).unwrap()
}

fn publish(world: &mut World, version: u64) {
    world.publish_weights(Version(version), &Watch::new(Version(version)));
}

fn all_serve(world: &World, version: u64) -> Option<()> {
    let serves = |engine: &engine::Engine| engine.load().weight_version == Version(version);
    world.engines.iter().all(serves).then_some(())
}

/// Returns the version that a node shows for an engine.
fn shown(world: &World, node: usize, target: &str) -> Option<u64> {
    world.debug_state(node)?["targets"]["reports"][target]["version"].as_u64()
}

/// Checks that no order of an earlier epoch follows one of a later epoch, and
/// that all orders of an epoch come from one node.
fn check_epochs(world: &World) {
    for (index, engine) in world.engines.iter().enumerate() {
        let loads = engine.read(|records| records.loads.clone());
        assert!(loads.is_sorted_by_key(|(_, epoch, _, _)| *epoch), "e{index}: {loads:?}");
        let mut hosts = BTreeMap::new();
        for (operation, epoch, _, _) in &loads {
            let host = operation.split('-').nth(1).unwrap().to_owned();
            assert_eq!(*hosts.entry(*epoch).or_insert_with(|| host.clone()), host);
        }
    }
}

/// Guards against an engine that stays behind after a failed load, and against
/// a failed load that any node shows as the new version.
#[test]
fn failed_load_is_retried() {
    let mut world = world(true);
    world.engines[0].configure(|options| options.load_failure_share = 1.0);
    publish(&mut world, 2);
    let failures = || world.engines[0].read(|records| records.loads.len());
    until("a failed load was retried", || (failures() >= 2).then_some(()));
    until("e1 serves version 2", || {
        (world.engines[1].load().weight_version == Version(2)).then_some(())
    });
    for node in 0..3 {
        assert_eq!(until("e0 is shown", || shown(&world, node, "e0")), 1);
    }
    world.engines[0].configure(|options| options.load_failure_share = 0.0);
    until("all serve version 2", || all_serve(&world, 2));
    for node in 0..3 {
        until("e0 is shown with version 2", || shown(&world, node, "e0").filter(|v| *v == 2));
    }
    check_epochs(&world);
}

/// Guards against an engine that was down during the loads and stays behind.
#[test]
fn engine_that_was_down_loads_later() {
    let mut world = world(true);
    let down = &world.engines[4];
    down.crash();
    until("e4 is down", || TcpStream::connect(down.address()).is_err().then_some(()));
    publish(&mut world, 2);
    until("the other engine of d2 serves version 2", || {
        (world.engines[3].load().weight_version == Version(2)).then_some(())
    });
    world.engines[4].restart();
    until("all serve version 2", || all_serve(&world, 2));
    check_epochs(&world);
}

/// Kills the holder in the middle of its loads.
fn kill_holder(checks_epoch: bool) {
    let mut world = world(checks_epoch);
    publish(&mut world, 2);
    let ordered = || world.engines[0].read(|records| records.loads.len());
    until("the first order of d1 arrived", || (ordered() > 0).then_some(()));
    let (holder, epoch) = world.holder("orders/d1").unwrap();
    world.hosts[holder].kill();
    publish(&mut world, 3);
    until("another node holds the lease", || world.holder("orders/d1").filter(|(_, e)| *e > epoch));
    until("all serve version 3", || all_serve(&world, 3));
    check_epochs(&world);
}

/// Guards against orders of a killed holder that arrive after those of the next.
#[test]
fn holder_killed_with_engines_that_check_epochs() {
    kill_holder(true);
}

/// Guards against unrecorded orders to engines that carry out every order.
#[test]
fn holder_killed_with_engines_that_ignore_epochs() {
    kill_holder(false);
}

/// Guards against a holder that goes on ordering after its lease has ended:
/// the nodes of d1 lose the platform while loads fail and are retried, and the
/// node of d2 takes over. Retries come at 250 ms, doubled up to 4 s, so a holder
/// that goes on orders at least once while the next one orders six times.
#[test]
fn isolated_holder_stops() {
    let mut world = world(false);
    world.engines[0].configure(|options| options.load_failure_share = 1.0);
    publish(&mut world, 2);
    let orders = || world.engines[0].read(|records| records.loads.len());
    until("a failed load was retried", || (orders() >= 2).then_some(()));
    let (_, epoch) = world.holder("orders/d1").unwrap();
    world.platform.cut("d1", true);
    let later = || {
        world.engines[0]
            .read(|records| records.loads.iter().filter(|(_, other, _, _)| other.0 > epoch).count())
    };
    until("the node of d2 orders", || (later() >= 1).then_some(()));
    until("the node of d2 has ordered six times", || (later() >= 6).then_some(()));
    assert_eq!(world.holder("orders/d1").map(|(holder, _)| holder), Some(1));
    world.engines[0].configure(|options| options.load_failure_share = 0.0);
    until("all serve version 2", || all_serve(&world, 2));
    world.platform.cut("d1", false);
    publish(&mut world, 3);
    until("all serve version 3", || all_serve(&world, 3));
    check_epochs(&world);
}
