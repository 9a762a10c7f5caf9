use standin::world::World;

use crate::support::{until, world};

/// Returns how a node sees another one: its health, and whether it leaves.
fn seen(world: &World, by: usize, host: &str) -> Option<(String, bool)> {
    let state = world.operate(by, "GET", "/debug/state", "").unwrap().body;
    let members = state["membership"]["members"].as_array().unwrap().clone();
    let found = members.into_iter().find(|member| member["host"] == host)?;
    Some((found["health"].as_str()?.into(), found["leaving"].as_bool()?))
}

/// Guards against a planned leave that others learn only from the lagging host
/// list, or only after the node has gone.
#[test]
fn planned_leave_is_announced_by_the_node_itself() {
    let world = world(&["d1", "d2", "d3"]);
    let alive = Some(("alive".to_owned(), false));
    until("all know n2", || (0..2).all(|by| seen(&world, by, "n2") == alive));
    world.hosts[2].shut_down();
    until("n2 is seen to leave", || {
        (0..2).all(|by| seen(&world, by, "n2").is_some_and(|(_, leaving)| leaving))
    });
}

/// Guards against a killed node that stays in the list of live members, because
/// the platform still lists it.
#[test]
fn killed_node_is_found_dead_by_probes() {
    let mut world = world(&["d1", "d2", "d3"]);
    world.hosts[2].kill();
    let dead = |by| seen(&world, by, "n2").is_some_and(|(health, _)| health == "dead");
    let span = until("n2 is held for dead", || (0..2).all(dead));
    println!("found dead after {} ms", span.as_millis());
}
