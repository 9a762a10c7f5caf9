//! What is known about the execution of a call.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Whether a call ran on a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// No byte of the call can have reached a target, or the target itself
    /// said so under its own identity.
    #[display("no")]
    No,
    /// The call may have run.
    #[display("unknown")]
    Unknown,
    /// The call ran.
    #[display("yes")]
    Yes,
}
