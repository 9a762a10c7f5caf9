use std::{net::SocketAddr, slice};

use serde_json::{Map, Value};

use crate::{
    Console, Error, Exit,
    arguments::Arguments,
    client::{Ask, send},
};

const PATH: &str = "/debug/state";

/// Prints the state of the first node that answers, or of all nodes by address.
pub(crate) fn run(arguments: &Arguments, console: &mut Console<'_>) -> Result<Exit, Error> {
    if arguments.has("all") {
        return all(&arguments.nodes, console);
    }
    let state: Value = send(&arguments.nodes, &Ask::read(PATH))?.json()?;
    console.json(&state)?;
    Ok(Exit::Done)
}

fn all(nodes: &[SocketAddr], console: &mut Console<'_>) -> Result<Exit, Error> {
    let mut states = Map::new();
    let mut failed = Vec::new();
    for node in nodes {
        let state = send(slice::from_ref(node), &Ask::read(PATH)).and_then(|reply| reply.json());
        match state {
            Ok(state) => drop(states.insert(node.to_string(), state)),
            Err(error) => failed.push(format!("`{node}` ({error})")),
        }
    }
    console.json(&states)?;
    if failed.is_empty() {
        Ok(Exit::Done)
    } else {
        Err(Error::Partial { nodes: failed.join(", ") })
    }
}
