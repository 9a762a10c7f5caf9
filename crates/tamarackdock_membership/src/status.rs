use serde::{Deserialize, Serialize};
use tamarackdock_types::HostName;

use crate::Health;

/// The status of a member as members gossip it.
///
/// It has no address: nodes learn addresses from the host list and from the members themselves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Host of the member.
    pub host: HostName,
    /// Number that only the member itself raises, to refute the health that others announce.
    pub incarnation: u64,
    /// Health of the member in this incarnation.
    pub health: Health,
    /// Whether the member or the platform has announced that it leaves.
    pub leaving: bool,
}

impl Status {
    /// Returns whether this status replaces `other`.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.health) > (other.incarnation, other.health)
    }

    /// Returns an upper bound of the status's size in JSON, in bytes.
    #[must_use]
    pub(crate) fn bytes(&self) -> usize {
        const FIXED: usize = 80;
        FIXED + self.host.as_str().len()
    }
}
