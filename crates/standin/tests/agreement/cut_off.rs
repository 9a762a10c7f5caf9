use std::time::Instant;

use standin::world::World;
use tamarackdock_config::deployment::DataCentreState;

use crate::{
    caller::{OpenStream, Refusal, call_plain_service, complete, open_step},
    support::{PROPAGATION_BOUND, deployment, key_status, version, wait_until, world},
};

const DATA_CENTRES: [&str; 3] = ["d1", "d2", "d3"];

fn is_refused(refusal: &Refusal, code: &str) -> bool {
    refusal.as_ref().is_some_and(|(actual, ran)| actual == code && ran == "no")
}

/// Withdraws a key that has a stream on each node, and checks that it stops working
/// within the bound.
fn check_withdrawal(mut world: World) {
    let nodes = world.caller_addresses();
    let streams: Vec<_> = nodes.iter().map(|node| OpenStream::open(*node, "courier-key")).collect();
    assert!(streams.iter().all(OpenStream::is_open));
    world.withdraw_key("courier", "courier-key").unwrap();
    let withdrawn_at = Instant::now();
    wait_until("the key is refused everywhere", || {
        nodes.iter().all(|node| is_refused(&complete(*node, "courier-key"), "unauthorized"))
    });
    let refused_after = withdrawn_at.elapsed();
    let ends = streams.into_iter().map(|stream| stream.received_for(withdrawn_at));
    let last = ends.max().unwrap();
    println!("refused everywhere after {refused_after:?}, last byte of a stream after {last:?}");
    assert!(refused_after <= PROPAGATION_BOUND && last <= PROPAGATION_BOUND);
    assert!(nodes.iter().all(|node| complete(*node, "shop-key").is_none()));
}

/// Guards against a withdrawn key that still works on some node or on an open stream.
#[test]
fn withdrawn_key_stops_on_all_nodes() {
    check_withdrawal(world(&DATA_CENTRES));
}

/// Guards against a node that misses a withdrawal because it can't read the store: the
/// link of `d2` to the platform, and so to the store, is cut before the key is withdrawn.
#[test]
fn withdrawn_key_stops_where_the_store_link_is_cut() {
    let world = world(&DATA_CENTRES);
    world.platform.set_cut_off("d2", true);
    check_withdrawal(world);
}

/// Guards against refused calls and closed streams while no node reaches the store.
#[test]
fn calls_go_on_while_the_store_is_down_for_all() {
    let world = world(&DATA_CENTRES);
    let nodes = world.caller_addresses();
    let streams: Vec<_> = nodes.iter().map(|node| OpenStream::open(*node, "shop-key")).collect();
    world.platform.state().faults.store_down = true;
    let begin = Instant::now();
    let mut calls = 0_u64;
    // Three times the bound, so that each node has to renew its proof of a current
    // configuration with the help of its peers.
    while begin.elapsed() < 3 * PROPAGATION_BOUND {
        for node in &nodes {
            assert_eq!(complete(*node, "shop-key"), None, "after {:?}", begin.elapsed());
            calls += 1;
        }
    }
    assert!(streams.iter().all(OpenStream::is_open));
    println!("{calls} calls in {:?}", begin.elapsed());
}

/// Guards against refused calls when a node starts while the store is down for all. The
/// new node has no proof of a current configuration yet; its peers must not be cut off
/// for that.
#[test]
fn calls_go_on_when_a_node_joins_while_the_store_is_down() {
    let mut world = world(&DATA_CENTRES);
    let nodes = world.caller_addresses();
    world.platform.state().faults.store_down = true;
    wait_until("all nodes serve under the cut-off rule", || {
        (0..3).all(|node| key_status(&world, node) == "StoreDown")
    });
    world.add_listed_node("d2").unwrap();
    let begin = Instant::now();
    let mut refusals = Vec::new();
    while begin.elapsed() < 3 * PROPAGATION_BOUND {
        for node in &nodes {
            let refused = complete(*node, "shop-key");
            refusals.extend(refused.map(|refused| (begin.elapsed(), refused)));
        }
    }
    let (first, last) = (refusals.first(), refusals.last());
    assert!(refusals.is_empty(), "{} refusals, {first:?} to {last:?}", refusals.len());
}

/// Changes the configuration so that the plain service needs no key.
fn open_plain(world: &World) {
    let mut body = deployment(world, 0);
    let services = body["services"].as_array_mut().unwrap();
    let found = services.iter_mut().find(|service| service["name"] == "parcels");
    found.unwrap()["access"] = "open".into();
    let path = format!("/config?base={}&wait_ms=5000", version(world, 0));
    let answer = world.send_operator_request(0, "POST", &path, &body.to_string()).unwrap();
    assert_eq!((answer.status, &answer.body["missing"]), (200, &serde_json::json!([])));
}

/// Guards against a node that accepts keys which may have been withdrawn while it
/// reaches neither the store nor a peer. Its refusals must say that the call did not
/// run, and services without keys must go on.
#[test]
fn node_without_store_and_peers_is_cut_off() {
    let mut world = world(&DATA_CENTRES);
    open_plain(&world);
    let node = world.caller_addresses()[0];
    let stream = OpenStream::open(node, "shop-key");
    world.nodes[1].kill();
    world.nodes[2].kill();
    world.platform.set_cut_off("d1", true);
    let cut_at = Instant::now();
    wait_until("keyed calls are refused", || is_refused(&complete(node, "shop-key"), "cut_off"));
    let refused_after = cut_at.elapsed();
    assert!(is_refused(&open_step(node, "t1-key"), "cut_off"));
    assert_eq!(call_plain_service(node, None), None, "an open service goes on");
    let last = stream.received_for(cut_at);
    println!("refused after {refused_after:?}, last byte of the stream after {last:?}");
    assert!(refused_after <= PROPAGATION_BOUND && last <= PROPAGATION_BOUND);
    world.platform.set_cut_off("d1", false);
    wait_until("the node serves again", || complete(node, "shop-key").is_none());
}

/// Guards against calls that start in a data centre more than the bound after it was
/// taken out, and against open streams that end with it.
#[test]
fn data_centre_out_gets_no_new_work() {
    let mut world = world(&DATA_CENTRES);
    let nodes = world.caller_addresses();
    let call_all = || nodes.iter().all(|node| complete(*node, "shop-key").is_none());
    // A stream of each node keeps the engine in `d1` the busier one.
    let streams: Vec<_> = nodes.iter().map(|node| OpenStream::open(*node, "shop-key")).collect();
    wait_until("the data centre gets work", || call_all() && world.calls_started_in("d2") > 0);
    world.set_data_centre("d2", DataCentreState::Out).unwrap();
    let out_at = Instant::now();
    let mut last = (out_at, world.calls_started_in("d2"));
    while out_at.elapsed() < 2 * PROPAGATION_BOUND {
        assert!(call_all());
        let started = world.calls_started_in("d2");
        if started > last.1 {
            last = (Instant::now(), started);
        }
    }
    assert!(streams.iter().all(OpenStream::is_open));
    let elapsed = last.0.duration_since(out_at);
    println!("last start in the data centre {elapsed:?} after it was taken out");
    assert!(elapsed <= PROPAGATION_BOUND);
    world.set_data_centre("d2", DataCentreState::In).unwrap();
    wait_until("the data centre gets work again", || {
        call_all() && world.calls_started_in("d2") > last.1
    });
}
