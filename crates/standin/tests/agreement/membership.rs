use standin::world::World;

use crate::support::{wait_until, world};

/// Returns the health of a host, and whether it leaves, as node `by` sees them.
fn member_state(world: &World, by: usize, host: &str) -> Option<(String, bool)> {
    let state = world.send_operator_request(by, "GET", "/debug/state", "").unwrap().body;
    let members = state["membership"]["members"].as_array().unwrap().clone();
    let found = members.into_iter().find(|member| member["host"] == host)?;
    Some((found["health"].as_str()?.into(), found["leaving"].as_bool()?))
}

/// Guards against a planned leave that other nodes learn only from the host list,
/// which lags, or only after the node has ended.
#[test]
fn planned_leave_is_announced_by_the_node_itself() {
    let world = world(&["d1", "d2", "d3"]);
    let alive = Some(("alive".to_owned(), false));
    wait_until("all know n2", || (0..2).all(|by| member_state(&world, by, "n2") == alive));
    world.nodes[2].shut_down();
    wait_until("n2 is seen to leave", || {
        (0..2).all(|by| member_state(&world, by, "n2").is_some_and(|(_, leaving)| leaving))
    });
}

/// Guards against a killed node that stays a live member because the platform still
/// lists its host.
#[test]
fn killed_node_is_found_dead_by_probes() {
    let mut world = world(&["d1", "d2", "d3"]);
    world.nodes[2].kill();
    let dead = |by| member_state(&world, by, "n2").is_some_and(|(health, _)| health == "dead");
    let elapsed = wait_until("n2 is taken for dead", || (0..2).all(dead));
    println!("found dead after {} ms", elapsed.as_millis());
}
