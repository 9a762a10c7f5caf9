use std::io;

use serde::{Deserialize, Serialize};

use crate::{Console, Exit};

/// The body of a node's answer to an accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AcceptedChange {
    pub(crate) version: u64,
    pub(crate) checksum: String,
    /// Hosts on which the version is active, printed as `in force on`.
    pub(crate) active_on: Vec<String>,
    /// Live hosts on which the version is not known to be active.
    pub(crate) missing: Vec<String>,
}

impl AcceptedChange {
    /// Prints on which nodes the change is active. Returns [`Exit::Pending`] for missing nodes
    /// only if the command was told to wait for them. A failed output doesn't change the exit
    /// code, since the change is accepted already.
    pub(crate) fn print(&self, console: &mut Console<'_>, json: bool, is_waiting: bool) -> Exit {
        if let Err(error) = self.print_body(console, json) {
            let version = self.version;
            let _ = writeln!(
                console.errors,
                "tamarackctl: version {version} accepted, but the \
                output failed: {error}; see where it is active with `tamarackctl dump --all`"
            );
        }
        let is_pending = is_waiting && !self.missing.is_empty();
        if is_pending { Exit::Pending } else { Exit::Done }
    }

    fn print_body(&self, console: &mut Console<'_>, json: bool) -> io::Result<()> {
        if json {
            console.print_json(self)
        } else {
            console.print_line(format_args!("version {} accepted", self.version))?;
            console.print_line(format_args!("in force on: {}", join_or_none(&self.active_on)))?;
            console.print_line(format_args!("not yet on: {}", join_or_none(&self.missing)))
        }
    }
}

fn join_or_none(names: &[String]) -> String {
    if names.is_empty() { "none".into() } else { names.join(", ") }
}
