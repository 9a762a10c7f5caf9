//! Fencing tokens, see `docs/design.md`, section 4.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// A fencing token: the number of a lease's term, never used twice for one lease.
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
pub struct Epoch(pub u64);

impl Epoch {
    /// Returns the epoch of the next term.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
