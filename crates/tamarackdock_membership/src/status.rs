use serde::{Deserialize, Serialize};
use tamarackdock_types::HostName;

use crate::Health;

/// What members tell each other of a third one. Its address is not part of it:
/// nodes learn addresses from the host list and from the members themselves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the host.
    pub host: HostName,
    /// Number that only the member itself raises, to refute what others hold.
    pub incarnation: u64,
    /// Health in this incarnation.
    pub health: Health,
    /// Whether the member has announced that it leaves.
    pub leaving: bool,
}

impl Status {
    /// Tells whether this status replaces `other`.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.health) > (other.incarnation, other.health)
    }

    /// Returns an upper bound of the size in bytes of the JSON form.
    #[must_use]
    pub(crate) fn bytes(&self) -> usize {
        const FIXED: usize = 80;
        FIXED + self.host.as_str().len()
    }
}
