//! Runs nodes with stand-ins and checks the weight loads that the engines record.

mod support;

use std::{collections::BTreeMap, net::TcpStream, time::Duration};

use standin::{
    engine,
    trainer::WeightVersions,
    world::{self, World},
};
use support::{SEED, wait_until};
use tamarackdock_types::weight::Version;

fn world(checks_epoch: bool) -> World {
    println!("seed {SEED:#x}");
    let weight_load_time = Duration::from_millis(200);
    let engine = engine::Options { checks_epoch, weight_load_time, ..engine::Options::default() };
    World::spawn(world::Options { seed: SEED, engine, ..world::Options::default() }).unwrap()
}

fn publish(world: &mut World, version: u64) {
    world.publish_weights(Version(version), &WeightVersions::new(Version(version)));
}

fn all_have_version(world: &World, version: u64) -> Option<()> {
    let serves = |engine: &engine::Engine| engine.load().weight_version == Version(version);
    world.engines.iter().all(serves).then_some(())
}

/// Returns the weight version of an engine as a node shows it.
fn shown_version(world: &World, node: usize, target: &str) -> Option<u64> {
    world.debug_state(node)?["targets"]["reports"][target]["version"].as_u64()
}

/// Checks that no order of an earlier epoch follows one of a later epoch, and
/// that all orders of an epoch come from one node.
fn check_epochs(world: &World) {
    for (index, engine) in world.engines.iter().enumerate() {
        let loads = engine.read(|records| records.weight_loads.clone());
        assert!(loads.is_sorted_by_key(|(_, epoch, _, _)| *epoch), "e{index}: {loads:?}");
        let mut hosts = BTreeMap::new();
        for (operation, epoch, _, _) in &loads {
            let host = operation.split('-').nth(1).unwrap().to_owned();
            assert_eq!(*hosts.entry(*epoch).or_insert_with(|| host.clone()), host);
        }
    }
}

/// Guards against an engine that keeps old weights after a failed load, and against a
/// node that shows the new version although the load failed.
#[test]
fn failed_load_is_retried() {
    let mut world = world(true);
    world.engines[0].configure(|options| options.weight_load_failure_share = 1.0);
    publish(&mut world, 2);
    let failures = || world.engines[0].read(|records| records.weight_loads.len());
    wait_until("a failed load was retried", || (failures() >= 2).then_some(()));
    wait_until("e1 serves version 2", || {
        (world.engines[1].load().weight_version == Version(2)).then_some(())
    });
    for node in 0..3 {
        assert_eq!(wait_until("e0 is shown", || shown_version(&world, node, "e0")), 1);
    }
    world.engines[0].configure(|options| options.weight_load_failure_share = 0.0);
    wait_until("all serve version 2", || all_have_version(&world, 2));
    for node in 0..3 {
        wait_until("e0 is shown with version 2", || {
            shown_version(&world, node, "e0").filter(|v| *v == 2)
        });
    }
    check_epochs(&world);
}

/// Guards against an engine that keeps old weights because it was down while the other
/// engines loaded.
#[test]
fn engine_that_was_down_loads_later() {
    let mut world = world(true);
    let down = &world.engines[4];
    down.crash();
    wait_until("e4 is down", || TcpStream::connect(down.address()).is_err().then_some(()));
    publish(&mut world, 2);
    wait_until("the other engine of d2 serves version 2", || {
        (world.engines[3].load().weight_version == Version(2)).then_some(())
    });
    world.engines[4].restart();
    wait_until("all serve version 2", || all_have_version(&world, 2));
    check_epochs(&world);
}

/// Kills the lease holder while its load orders are carried out, publishes a further
/// version and waits until all engines have it.
fn check_killed_holder(checks_epoch: bool) {
    let mut world = world(checks_epoch);
    publish(&mut world, 2);
    let ordered = || world.engines[0].read(|records| records.weight_loads.len());
    wait_until("the first order of d1 arrived", || (ordered() > 0).then_some(()));
    let (holder, epoch) = world.lease_holder("orders/d1").unwrap();
    world.nodes[holder].kill();
    publish(&mut world, 3);
    wait_until("another node holds the lease", || {
        world.lease_holder("orders/d1").filter(|(_, e)| *e > epoch)
    });
    wait_until("all serve version 3", || all_have_version(&world, 3));
    check_epochs(&world);
}

/// Guards against orders of a killed holder that take effect after those of the next
/// holder.
#[test]
fn holder_killed_with_engines_that_check_epochs() {
    check_killed_holder(true);
}

/// Guards against an order of a killed holder that takes effect after the next holder has
/// started to order, as one that was sent without a record may. These engines carry out
/// every order, whatever its epoch.
#[test]
fn holder_killed_with_engines_that_ignore_epochs() {
    check_killed_holder(false);
}

/// Guards against a holder that still sends orders after its lease has ended. The nodes
/// of d1 lose the platform while loads fail and are retried, and the node of d2 takes
/// over. Retries come after 250 ms, doubled up to 4 s, so an old holder that doesn't
/// stop sends at least one order while the next one sends six.
#[test]
fn isolated_holder_stops() {
    let mut world = world(false);
    world.engines[0].configure(|options| options.weight_load_failure_share = 1.0);
    publish(&mut world, 2);
    let orders = || world.engines[0].read(|records| records.weight_loads.len());
    wait_until("a failed load was retried", || (orders() >= 2).then_some(()));
    let (_, epoch) = world.lease_holder("orders/d1").unwrap();
    world.platform.set_cut_off("d1", true);
    let orders_of_next_holder = || {
        world.engines[0].read(|records| {
            records.weight_loads.iter().filter(|(_, load_epoch, _, _)| load_epoch.0 > epoch).count()
        })
    };
    wait_until("the node of d2 orders", || (orders_of_next_holder() >= 1).then_some(()));
    wait_until("the node of d2 has ordered six times", || {
        (orders_of_next_holder() >= 6).then_some(())
    });
    assert_eq!(world.lease_holder("orders/d1").map(|(holder, _)| holder), Some(1));
    world.engines[0].configure(|options| options.weight_load_failure_share = 0.0);
    wait_until("all serve version 2", || all_have_version(&world, 2));
    world.platform.set_cut_off("d1", false);
    publish(&mut world, 3);
    wait_until("all serve version 3", || all_have_version(&world, 3));
    check_epochs(&world);
}
