use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tamarackdock_config::Deployment;

use crate::{
    Console, Error, Exit,
    arguments::Arguments,
    client::{NodeRequest, send},
};

/// The answer of `GET /config`: the active configuration of a node.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ActiveConfig {
    pub(crate) version: u64,
    /// `None` for nodes of earlier releases, which don't send it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) checksum: Option<String>,
    pub(crate) deployment: Deployment,
}

/// Reads the active configuration of the first node that answers.
pub(crate) fn read_active(nodes: &[SocketAddr]) -> Result<ActiveConfig, Error> {
    send(nodes, &NodeRequest::read("/config"))?.parse_json()
}

/// Prints the active configuration. The text form is a deployment file, with version and
/// checksum in a comment, that can be submitted again.
pub(crate) fn run(arguments: &Arguments, console: &mut Console<'_>) -> Result<Exit, Error> {
    let active = read_active(&arguments.nodes)?;
    if arguments.wants_json() {
        console.print_json(&active)?;
    } else {
        let checksum = active.checksum.as_deref().unwrap_or("not given");
        console.print_line(format_args!("// Version {}, checksum {checksum}.", active.version))?;
        console.print_json(&active.deployment)?;
    }
    Ok(Exit::Done)
}
