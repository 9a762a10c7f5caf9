use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use tamarackdock_types::HostName;

use super::{Changes, Checksum, Snapshot, VersionNumber};

/// An accepted version, as the change from the version before it. It is also
/// the value of the row `config/v/{n}`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delta {
    /// Number of the version.
    pub number: VersionNumber,
    /// Checksum of the version.
    pub checksum: Checksum,
    /// Operation id of the submission.
    pub operation: String,
    /// Host that accepted the submission and tracks on which hosts it is active.
    pub origin: HostName,
    /// Changes from the version before.
    pub changes: Changes,
}

/// The reason why a delta can't be applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum ApplyError {
    /// The delta does not follow the version that it was applied to.
    #[display("the delta of version {delta} does not follow version {base}")]
    Base {
        /// Version of the delta.
        delta: VersionNumber,
        /// Version that it was applied to.
        base: VersionNumber,
    },
    /// The result differs from the accepted version, so that a full copy is needed.
    #[display("the delta of version {delta} gives another checksum; a full copy is needed")]
    Checksum {
        /// Version of the delta.
        delta: VersionNumber,
    },
}

impl Delta {
    /// Computes the change from `base` to `next`.
    #[must_use]
    pub fn between(base: &Snapshot, next: &Snapshot, operation: &str, origin: HostName) -> Self {
        Self {
            number: next.number(),
            checksum: next.checksum(),
            operation: operation.into(),
            origin,
            changes: Changes::between(base.deployment(), next.deployment()),
        }
    }

    /// Applies the change to the version before it.
    ///
    /// # Errors
    ///
    /// Returns [`ApplyError`] if `base` is not the version before this one or
    /// the result is not the accepted version.
    pub fn apply(&self, base: &Snapshot) -> Result<Snapshot, ApplyError> {
        if base.number().next() != self.number {
            return Err(ApplyError::Base { delta: self.number, base: base.number() });
        }
        let next = Snapshot::new(self.number, self.changes.apply(base.deployment()));
        if next.checksum() == self.checksum {
            Ok(next)
        } else {
            Err(ApplyError::Checksum { delta: self.number })
        }
    }
}
