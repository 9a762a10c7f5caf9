use serde::{Deserialize, Serialize};

/// What a node holds of a member, in order of precedence within one incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// The member answers, or was not probed yet.
    Alive,
    /// Neither the member nor others on its behalf answered a probe.
    Suspect,
    /// The member did not refute the suspicion in time.
    Dead,
}
