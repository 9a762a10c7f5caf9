//! Versions of model weights.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// A version of a model's weights, as the weight store numbers them.
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
pub struct Version(pub u64);

impl Version {
    /// Returns by how many versions `self` is older than `current`.
    #[must_use]
    pub const fn lag_behind(self, current: Self) -> u64 {
        current.0.saturating_sub(self.0)
    }
}
