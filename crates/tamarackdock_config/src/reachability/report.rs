use tamarackdock_types::clock::Instant;

use super::{Answer, STORE_DOWN_AFTER};
use crate::version::Number;

/// Newest answer of a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Report {
    /// When the question was sent.
    pub(crate) sent: Instant,
    /// Version that was active on the peer.
    pub(crate) active: Number,
    /// Whether the peer found the store down and has nothing unsettled.
    pub(crate) down: bool,
}

impl From<Answer> for Report {
    fn from(answer: Answer) -> Self {
        let silent = answer.confirmed.is_none_or(|age| age > STORE_DOWN_AFTER);
        Self { sent: answer.sent, active: answer.active, down: silent && !answer.unsettled }
    }
}
