use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tamarackdock_config::Deployment;

use crate::{
    Console, Error, Exit,
    arguments::Arguments,
    client::{Ask, send},
};

/// The active configuration of a node.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Active {
    pub(crate) version: u64,
    /// Nodes of earlier releases leave it out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) checksum: Option<String>,
    pub(crate) deployment: Deployment,
}

/// Reads the active configuration.
pub(crate) fn active(nodes: &[SocketAddr]) -> Result<Active, Error> {
    send(nodes, &Ask::read("/config"))?.json()
}

/// Prints the active configuration, as a file that can be submitted again.
pub(crate) fn run(arguments: &Arguments, console: &mut Console<'_>) -> Result<Exit, Error> {
    let active = active(&arguments.nodes)?;
    if arguments.json() {
        console.json(&active)?;
    } else {
        let checksum = active.checksum.as_deref().unwrap_or("not given");
        console.line(format_args!("// Version {}, checksum {checksum}.", active.version))?;
        console.json(&active.deployment)?;
    }
    Ok(Exit::Done)
}
