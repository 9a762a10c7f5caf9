use tamarackdock_types::clock::Instant;

use super::{Answer, STORE_DOWN_AFTER};
use crate::version::VersionNumber;

/// The newest answer of a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Report {
    /// Time at which the query was sent.
    pub(crate) sent: Instant,
    /// Version that was active on the peer.
    pub(crate) active: VersionNumber,
    /// Whether the peer found the store down and has no commit with an unknown result.
    pub(crate) down: bool,
}

impl From<Answer> for Report {
    fn from(answer: Answer) -> Self {
        let unconfirmed = answer.confirmed.is_none_or(|age| age > STORE_DOWN_AFTER);
        Self { sent: answer.sent, active: answer.active, down: unconfirmed && !answer.unsettled }
    }
}
