use std::{net::SocketAddr, slice};

use serde_json::{Map, Value};

use crate::{
    Console, Error, Exit,
    arguments::Arguments,
    client::{NodeRequest, send},
};

const PATH: &str = "/debug/state";

/// Prints the state of the first node that answers, or with `--all` an object of the states
/// of all given nodes by address.
pub(crate) fn run(arguments: &Arguments, console: &mut Console<'_>) -> Result<Exit, Error> {
    if arguments.has("all") {
        return print_all(&arguments.nodes, console);
    }
    let state: Value = send(&arguments.nodes, &NodeRequest::read(PATH))?.parse_json()?;
    console.print_json(&state)?;
    Ok(Exit::Done)
}

fn print_all(nodes: &[SocketAddr], console: &mut Console<'_>) -> Result<Exit, Error> {
    let mut states = Map::new();
    let mut failures = Vec::new();
    for node in nodes {
        let state = send(slice::from_ref(node), &NodeRequest::read(PATH))
            .and_then(|reply| reply.parse_json());
        match state {
            Ok(state) => drop(states.insert(node.to_string(), state)),
            Err(error) => failures.push(format!("`{node}` ({error})")),
        }
    }
    console.print_json(&states)?;
    if failures.is_empty() {
        Ok(Exit::Done)
    } else {
        Err(Error::Partial { nodes: failures.join(", ") })
    }
}
