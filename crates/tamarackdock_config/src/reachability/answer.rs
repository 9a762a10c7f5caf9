use std::time::Duration;

use serde::{Deserialize, Serialize};
use tamarackdock_types::clock::Instant;

use crate::version::Number;

/// What a node knows of the store when it is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Time from the question.
    pub sent: Instant,
    /// Version that is active on the responder.
    pub active: Number,
    /// Time since the active version was certainly the newest one, by a read of
    /// the responder or of a node that told it; `None` if it never was.
    pub confirmed: Option<Duration>,
    /// Whether a commit of the responder may take effect without its knowledge.
    pub unsettled: bool,
}
