//! Runs nodes with stand-ins and checks the orders to start and stop targets that the
//! platform records.

mod support;

use std::{collections::BTreeMap, time::Duration};

use serde_json::Value;
use standin::{
    app::{self, App},
    engine,
    world::{self, World},
};
use support::{SEED, wait_until};
use tamarackdock_config::settings::{Policy, Spending};
use tamarackdock_platform::order::{Action, Class, ListedTarget, State};
use tamarackdock_types::{DataCentreName, TargetName};

fn world(spending: Spending, engine: engine::Options) -> World {
    println!("seed {SEED:#x}");
    let policy = Policy { spending, ..Policy::default() };
    let options = world::Options { seed: SEED, policy, engine, ..world::Options::default() };
    World::spawn(options).unwrap()
}

fn d1() -> DataCentreName {
    DataCentreName::new("d1").unwrap()
}

/// Sets a target of `d1` in the list of the platform.
fn set_listed(world: &World, target: &str, state: State) {
    let name = TargetName::new(target).unwrap();
    let listed = ListedTarget { name, class: Class::Ordinary, state };
    world.platform.state().orders.set(d1(), listed);
}

fn all_targets_run(world: &World) -> Option<()> {
    let listed = world.platform.state().orders.list(&d1());
    let runs = |name: &str| {
        listed.iter().any(|target| target.name.as_str() == name && target.state == State::Running)
    };
    ["e0", "e1", "e2"].into_iter().all(runs).then_some(())
}

/// Returns the targets to which a node gives no new work, or `None` before it has read
/// the lists of both data centres.
fn no_new_work(world: &World, node: usize) -> Option<Vec<String>> {
    let state = world.debug_state(node)?;
    state["targets"]["lists"].get("d1").filter(|_| state["targets"]["lists"]["d2"].is_object())?;
    let names = state["targets"]["no_new_work"].as_array()?.iter();
    names.map(|name| Some(name.as_str()?.to_owned())).collect()
}

/// Checks that no order of an earlier epoch follows one of a later epoch, that
/// each epoch had one holder, and that only configured targets were ordered.
fn check_orders(world: &World) {
    let state = world.platform.state();
    let received = state.orders.received();
    assert!(received.iter().all(|received| received.data_centre == d1()));
    assert!(received.is_sorted_by_key(|received| received.order.epoch), "{received:?}");
    let configured = ["e0", "e1", "e2"];
    assert!(received.iter().all(|r| configured.contains(&r.order.target.as_str())));
    let mut holders = BTreeMap::new();
    let writes = state.table.commits().iter().flat_map(|commit| &commit.writes);
    for write in writes.filter(|write| write.key == "lease/orders/d1") {
        let row: Value = serde_json::from_str(write.value.as_ref().unwrap()).unwrap();
        let holder = row["holder"].as_str().unwrap().to_owned();
        assert_eq!(*holders.entry(row["epoch"].as_u64()).or_insert_with(|| holder.clone()), holder);
    }
}

/// Guards against orders, and against targets without new work, in data centres where
/// the platform lists no targets.
#[test]
fn without_a_list_all_targets_run() {
    let world = world(Spending::Fixed, engine::Options::default());
    for node in 0..3 {
        assert_eq!(
            wait_until("lists are read", || no_new_work(&world, node)),
            Vec::<String>::new()
        );
    }
    wait_until("d1 is held", || world.lease_holder("orders/d1"));
    world.shut_down();
    assert!(world.platform.state().orders.received().is_empty());
}

/// Guards against new work for a target that the platform lists as leaving.
#[test]
fn leaving_target_is_published_on_all_nodes() {
    let world = world(Spending::Fixed, engine::Options::default());
    for target in ["e0", "e2", "s0"] {
        set_listed(&world, target, State::Running);
    }
    set_listed(&world, "e1", State::Leaving);
    for node in 0..3 {
        wait_until("e1 gets no new work", || {
            no_new_work(&world, node).filter(|names| names == &["e1"])
        });
    }
}

/// Guards against targets that are not started although the demand grows.
#[test]
fn demand_starts_targets() {
    let token_interval = Duration::from_millis(5);
    let engine = engine::Options { capacity: 1, token_interval, ..engine::Options::default() };
    let world = world(Spending::Elastic, engine);
    for target in ["e2", "s0"] {
        set_listed(&world, target, State::Running);
    }
    let mut app = App::spawn(app::Options {
        key: "shop-key".into(),
        nodes: world.caller_addresses(),
        questions: u64::MAX,
        callers: 8,
        ..app::Options::default()
    })
    .unwrap();
    wait_until("all targets of d1 run", || all_targets_run(&world));
    app.stop();
    check_orders(&world);
}

/// Guards against orders of an old holder that arrive among those of the next one. The
/// first holder is killed while targets of the wanted class are unavailable, and
/// responses are lost throughout.
#[test]
fn holder_killed_between_orders() {
    let mut world = world(Spending::Fixed, engine::Options::default());
    let unavailable = (d1(), Class::Ordinary);
    world.platform.state().orders.unavailable.insert(unavailable.clone());
    world.platform.state().faults.lose_share = 0.2;
    for target in ["e0", "s0"] {
        set_listed(&world, target, State::Running);
    }
    let last_epoch = |world: &World| {
        world.platform.state().orders.received().last().map(|received| received.order.epoch)
    };
    let first = wait_until("an order arrived", || last_epoch(&world));
    let (holder, _) = world.lease_holder("orders/d1").unwrap();
    world.nodes[holder].kill();
    wait_until("the next holder orders", || last_epoch(&world).filter(|epoch| *epoch > first));
    world.platform.state().orders.unavailable.remove(&unavailable);
    wait_until("all targets of d1 run", || all_targets_run(&world));
    check_orders(&world);
    let state = world.platform.state();
    assert!(state.faults.lost_responses > 0);
    let accepted = state.orders.received().iter().filter(|received| received.accepted);
    assert!(accepted.clone().all(|received| received.order.action == Action::Start));
}
