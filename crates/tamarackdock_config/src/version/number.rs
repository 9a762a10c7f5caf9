use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The number of a configuration version. Version 0 is the empty configuration before the
/// first submission.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct VersionNumber(pub u64);

impl VersionNumber {
    /// Returns the number of the following version.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}
