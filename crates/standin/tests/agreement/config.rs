use std::{
    thread,
    time::{Duration, Instant},
};

use standin::world::{Answer, World};

use crate::{
    caller::complete,
    support::{PROPAGATION_BOUND, deployment, key_status, version, wait_until, world},
};

const ROUNDS: u64 = 8;

fn submit(world: &World, node: usize, base: u64, operation: &str, weight: u64) -> Answer {
    let mut body = deployment(world, node);
    body["accounts"][0]["weight"] = weight.into();
    let path = format!("/config?base={base}&operation={operation}");
    world.send_operator_request(node, "POST", &path, &body.to_string()).unwrap()
}

/// Guards against two submissions on the same base version that are both accepted, and
/// against a refusal that doesn't name the operation that was accepted instead. Two
/// nodes get one submission each at the same time.
#[test]
fn one_of_two_racing_submissions_wins() {
    let world = world(&["d1", "d2", "d3"]);
    for round in 0..ROUNDS {
        wait_until("both nodes have one base", || version(&world, 0) == version(&world, 1));
        let base = version(&world, 0);
        let answers = thread::scope(|scope| {
            let race = |node: usize| {
                let (world, operation) = (&world, format!("op-{round}-{node}"));
                let weight = 10 + 2 * round + node as u64;
                scope.spawn(move || (submit(world, node, base, &operation, weight), operation))
            };
            [race(0), race(1)].map(|thread| thread.join().unwrap())
        });
        let winner = answers.iter().find(|(answer, _)| answer.status == 200).expect("a winner");
        let loser = answers.iter().find(|(answer, _)| answer.status == 409).expect("a loser");
        assert_eq!(winner.0.body["version"], base + 1);
        assert_eq!(loser.0.body["error"]["code"], "conflict");
        let message = loser.0.body["error"]["message"].as_str().unwrap();
        assert!(message.contains(&winner.1), "{message}");
        let state = world.platform.state();
        let rows = state.table.commits().iter().filter(|commit| commit.operation == loser.1);
        assert_eq!(rows.count(), 0);
    }
}

/// Guards against a change that is applied twice or reported as failed because the
/// response of its commit was lost, and the node or the operator tried again.
#[test]
fn lost_commit_response_gives_one_result() {
    let world = world(&["d1", "d2"]);
    let base = version(&world, 0);
    world.platform.state().faults.lose_next_commits = 1;
    let first = submit(&world, 0, base, "once", 30);
    assert_eq!(world.platform.state().faults.lost_responses, 1, "the response was not lost");
    assert_eq!((first.status, &first.body["version"]), (200, &(base + 1).into()));
    wait_until("the other node has it", || version(&world, 1) == base + 1);
    for node in 0..2 {
        let again = submit(&world, node, base, "once", 30);
        assert_eq!((again.status, &again.body["version"]), (200, &(base + 1).into()));
        let other = submit(&world, node, base, "once", 31);
        assert_eq!(other.status, 409, "the operation id is used for another configuration");
    }
    let state = world.platform.state();
    let commits = state.table.commits().iter().filter(|commit| commit.operation == "once");
    assert_eq!(commits.count(), 1);
}

/// Guards against a node that can't start while the store is down. The outage lasts so
/// long that no peer can confirm any more that its version was the newest a moment ago.
#[test]
fn empty_node_catches_up_from_peers_without_store() {
    let mut world = world(&["d1", "d2"]);
    let expected = version(&world, 0);
    world.platform.state().faults.store_down = true;
    wait_until("the peers serve under the cut-off rule", || {
        (0..2).all(|node| key_status(&world, node) == "StoreDown")
    });
    world.add_listed_node("d2").unwrap();
    let joined = Instant::now();
    wait_until("the new node has the configuration", || version(&world, 2) == expected);
    println!("configuration after {} ms", joined.elapsed().as_millis());
    let address = world.caller_addresses()[2];
    wait_until("the new node serves", || complete(address, "shop-key").is_none());
    println!("keyed calls after {} ms", joined.elapsed().as_millis());
}

/// Submits a change, and returns the time from the answer that accepts it until the
/// version is active on all nodes.
fn activation_time(world: &World, round: u64) -> Duration {
    let node = usize::try_from(round).unwrap() % world.nodes.len();
    let base = version(world, node);
    let answer = submit(world, node, base, &format!("time-{round}"), 50 + round);
    assert_eq!(answer.status, 200, "{}", answer.body);
    wait_until("the version is active on all nodes", || {
        (0..world.nodes.len()).all(|node| version(world, node) > base)
    })
}

/// Guards against a version that takes longer than the bound to become active on all
/// nodes, with 3 and with 9 nodes.
#[test]
fn accepted_version_is_active_on_all_nodes_in_time() {
    for nodes in [3, 9] {
        let data_centres: Vec<_> = ["d1", "d2", "d3"].into_iter().cycle().take(nodes).collect();
        let world = world(&data_centres);
        let mut times: Vec<_> =
            (0..2 * ROUNDS).map(|round| activation_time(&world, round)).collect();
        times.sort();
        let (median, longest) = (times[times.len() / 2], times[times.len() - 1]);
        println!("{nodes} nodes: median {median:?}, longest {longest:?} of {}", times.len());
        assert!(longest <= PROPAGATION_BOUND, "{longest:?}");
    }
}
