use std::time::Instant;

use standin::world::World;
use tamarackdock_config::deployment::DataCentreState;

use crate::{
    caller::{Live, Refused, complete, plain, step},
    support::{BOUND, deployment, until, verdict, version, world},
};

const CENTRES: [&str; 3] = ["d1", "d2", "d3"];

fn is_refused(refused: &Refused, with: &str) -> bool {
    refused.as_ref().is_some_and(|(code, ran)| code == with && ran == "no")
}

/// Withdraws a key that has a stream on each node and checks when it last worked.
fn withdraw(mut world: World) {
    let nodes = world.nodes();
    let streams: Vec<_> = nodes.iter().map(|node| Live::open(*node, "courier-key")).collect();
    assert!(streams.iter().all(Live::is_open));
    world.withdraw_key("courier", "courier-key").unwrap();
    let withdrawn = Instant::now();
    until("the key is refused everywhere", || {
        nodes.iter().all(|node| is_refused(&complete(*node, "courier-key"), "unauthorized"))
    });
    let refused_after = withdrawn.elapsed();
    let ends = streams.into_iter().map(|stream| stream.served_after(withdrawn));
    let last = ends.max().unwrap();
    println!("refused everywhere after {refused_after:?}, last byte of a stream after {last:?}");
    assert!(refused_after <= BOUND && last <= BOUND);
    assert!(nodes.iter().all(|node| complete(*node, "shop-key").is_none()));
}

/// Guards against a withdrawn key that goes on to work on some node or on an open stream.
#[test]
fn withdrawn_key_stops_on_all_nodes() {
    withdraw(world(&CENTRES));
}

/// Guards against a node that misses a withdrawal, since it can't read the store.
#[test]
fn withdrawn_key_stops_where_the_store_link_is_cut() {
    let world = world(&CENTRES);
    world.platform.cut("d2", true);
    withdraw(world);
}

/// Guards against an outage of the store that becomes an outage of the service.
#[test]
fn calls_go_on_while_the_store_is_down_for_all() {
    let world = world(&CENTRES);
    let nodes = world.nodes();
    let streams: Vec<_> = nodes.iter().map(|node| Live::open(*node, "shop-key")).collect();
    world.platform.state().faults.store_down = true;
    let begin = Instant::now();
    let mut calls = 0_u64;
    // Three times the bound, so that each node has to renew its proof from peers.
    while begin.elapsed() < 3 * BOUND {
        for node in &nodes {
            assert_eq!(complete(*node, "shop-key"), None, "after {:?}", begin.elapsed());
            calls += 1;
        }
    }
    assert!(streams.iter().all(Live::is_open));
    println!("{calls} calls in {:?}", begin.elapsed());
}

/// Guards against an outage of the service each time that a node starts while the
/// store is down for all.
#[test]
fn calls_go_on_when_a_node_joins_while_the_store_is_down() {
    let mut world = world(&CENTRES);
    let nodes = world.nodes();
    world.platform.state().faults.store_down = true;
    until("all nodes go on by the cut-off rule", || {
        (0..3).all(|node| verdict(&world, node) == "StoreDown")
    });
    world.join("d2").unwrap();
    let begin = Instant::now();
    let mut refusals = Vec::new();
    while begin.elapsed() < 3 * BOUND {
        for node in &nodes {
            let refused = complete(*node, "shop-key");
            refusals.extend(refused.map(|refused| (begin.elapsed(), refused)));
        }
    }
    let (first, last) = (refusals.first(), refusals.last());
    assert!(refusals.is_empty(), "{} refusals, {first:?} to {last:?}", refusals.len());
}

/// Makes the plain service open.
fn open_plain(world: &World) {
    let mut body = deployment(world, 0);
    let services = body["services"].as_array_mut().unwrap();
    let found = services.iter_mut().find(|service| service["name"] == "parcels");
    found.unwrap()["access"] = "open".into();
    let path = format!("/config?base={}&wait_ms=5000", version(world, 0));
    let answer = world.operate(0, "POST", &path, &body.to_string()).unwrap();
    assert_eq!((answer.status, &answer.body["missing"]), (200, &serde_json::json!([])));
}

/// Guards against a node that serves keys which may have been withdrawn, since it
/// reaches neither the store nor peers; against a refusal that is not truthful; and
/// against one that also stops open services.
#[test]
fn node_without_store_and_peers_is_cut_off() {
    let mut world = world(&CENTRES);
    open_plain(&world);
    let node = world.nodes()[0];
    let stream = Live::open(node, "shop-key");
    world.hosts[1].kill();
    world.hosts[2].kill();
    world.platform.cut("d1", true);
    let cut = Instant::now();
    until("keyed calls are refused", || is_refused(&complete(node, "shop-key"), "cut_off"));
    let refused_after = cut.elapsed();
    assert!(is_refused(&step(node, "t1-key"), "cut_off"));
    assert_eq!(plain(node, None), None, "an open service goes on");
    let last = stream.served_after(cut);
    println!("refused after {refused_after:?}, last byte of the stream after {last:?}");
    assert!(refused_after <= BOUND && last <= BOUND);
    world.platform.cut("d1", false);
    until("the node serves again", || complete(node, "shop-key").is_none());
}

/// Guards against new work in a data centre that was taken out.
#[test]
fn data_centre_out_gets_no_new_work() {
    let mut world = world(&CENTRES);
    let nodes = world.nodes();
    let call_all = || nodes.iter().all(|node| complete(*node, "shop-key").is_none());
    // A stream of each node keeps the engine in `d1` the busier one.
    let streams: Vec<_> = nodes.iter().map(|node| Live::open(*node, "shop-key")).collect();
    until("the data centre gets work", || call_all() && world.started_in("d2") > 0);
    world.set_data_centre("d2", DataCentreState::Out).unwrap();
    let out = Instant::now();
    let mut last = (out, world.started_in("d2"));
    while out.elapsed() < 2 * BOUND {
        assert!(call_all());
        let started = world.started_in("d2");
        if started > last.1 {
            last = (Instant::now(), started);
        }
    }
    assert!(streams.iter().all(Live::is_open));
    let span = last.0.duration_since(out);
    println!("last start in the data centre {span:?} after it was taken out");
    assert!(span <= BOUND);
    world.set_data_centre("d2", DataCentreState::In).unwrap();
    until("the data centre gets work again", || call_all() && world.started_in("d2") > last.1);
}
