//! What is known about the execution of a call.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Whether a call ran on a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// The call has not run: no byte of it can have reached a target, or the target
    /// answered, with its own id, that it did not run it.
    #[display("no")]
    No,
    /// The call may have run.
    #[display("unknown")]
    Unknown,
    /// The call ran.
    #[display("yes")]
    Yes,
}
