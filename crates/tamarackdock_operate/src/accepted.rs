use std::io;

use serde::{Deserialize, Serialize};

use crate::{Console, Exit};

/// Answer to an accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Accepted {
    pub(crate) version: u64,
    pub(crate) checksum: String,
    pub(crate) active_on: Vec<String>,
    pub(crate) missing: Vec<String>,
}

impl Accepted {
    /// Prints where the change is in force. Only a caller that waits is told by the exit code.
    /// A failure to print is no failure of the change, which is accepted already.
    pub(crate) fn print(&self, console: &mut Console<'_>, json: bool, waits: bool) -> Exit {
        if let Err(error) = self.write(console, json) {
            let version = self.version;
            let _ = writeln!(
                console.errors,
                "tamarackctl: version {version} accepted, but the \
                output failed: {error}; see where it is active with `tamarackctl dump --all`"
            );
        }
        let is_pending = waits && !self.missing.is_empty();
        if is_pending { Exit::Pending } else { Exit::Done }
    }

    fn write(&self, console: &mut Console<'_>, json: bool) -> io::Result<()> {
        if json {
            console.json(self)
        } else {
            console.line(format_args!("version {} accepted", self.version))?;
            console.line(format_args!("in force on: {}", names(&self.active_on)))?;
            console.line(format_args!("not yet on: {}", names(&self.missing)))
        }
    }
}

fn names(names: &[String]) -> String {
    if names.is_empty() { "none".into() } else { names.join(", ") }
}
