use serde::{Deserialize, Serialize};

use crate::{Console, Error, Exit};

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
    pub(crate) fn print(
        &self,
        console: &mut Console<'_>,
        json: bool,
        waits: bool,
    ) -> Result<Exit, Error> {
        if json {
            console.json(self)?;
        } else {
            console.line(format_args!("version {} accepted", self.version))?;
            console.line(format_args!("in force on: {}", names(&self.active_on)))?;
            console.line(format_args!("not yet on: {}", names(&self.missing)))?;
        }
        let is_pending = waits && !self.missing.is_empty();
        Ok(if is_pending { Exit::Pending } else { Exit::Done })
    }
}

fn names(names: &[String]) -> String {
    if names.is_empty() { "none".into() } else { names.join(", ") }
}
