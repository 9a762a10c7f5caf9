use serde::{Deserialize, Serialize};

/// The health of a member as one node sees it.
///
/// The variants are in order of precedence within one incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// The member answers probes, or has not been probed yet.
    Alive,
    /// No answer to a probe arrived, neither directly nor through other members.
    Suspect,
    /// The member did not refute the suspicion in time.
    Dead,
}
