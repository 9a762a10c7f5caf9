use std::rc::Rc;

use derive_more::{Display, Error};

use super::{Checksum, VersionNumber, canonical};
use crate::Deployment;

/// A complete version of the configuration, which is cheap to clone.
#[derive(Debug, Clone, PartialEq)]
pub struct Snapshot {
    number: VersionNumber,
    checksum: Checksum,
    deployment: Rc<Deployment>,
}

/// The reason why a full copy can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum SnapshotError {
    /// The bytes don't have the announced checksum.
    #[display("the copy of the configuration has another checksum than announced")]
    Checksum,
    /// The bytes are not a configuration that this release can read.
    #[display("the copy of the configuration can't be read by this release")]
    Format,
}

impl Snapshot {
    /// Creates a version from its number and a configuration, which is brought into canonical
    /// form.
    #[must_use]
    pub fn new(number: VersionNumber, deployment: Deployment) -> Self {
        let deployment = canonical::sorted(deployment);
        let checksum = Checksum::of(&canonical::bytes(&deployment));
        Self { number, checksum, deployment: Rc::new(deployment) }
    }

    /// Decodes and checks a full copy from a peer or the object store.
    ///
    /// # Errors
    ///
    /// Returns [`SnapshotError`] if the bytes are damaged or can't be read by this release.
    pub fn from_bytes(
        number: VersionNumber,
        expected: Checksum,
        bytes: &[u8],
    ) -> Result<Self, SnapshotError> {
        if Checksum::of(bytes) != expected {
            return Err(SnapshotError::Checksum);
        }
        let deployment = serde_json::from_slice(bytes).map_err(|_| SnapshotError::Format)?;
        let snapshot = Self::new(number, deployment);
        if snapshot.checksum == expected { Ok(snapshot) } else { Err(SnapshotError::Format) }
    }

    /// Returns the canonical form, as JSON.
    #[must_use]
    pub fn bytes(&self) -> Vec<u8> {
        canonical::bytes(&self.deployment)
    }

    /// Returns the number of the version.
    #[must_use]
    pub const fn number(&self) -> VersionNumber {
        self.number
    }

    /// Returns the checksum of the canonical form.
    #[must_use]
    pub const fn checksum(&self) -> Checksum {
        self.checksum
    }

    /// Returns the configuration.
    #[must_use]
    pub fn deployment(&self) -> &Deployment {
        &self.deployment
    }
}

impl Default for Snapshot {
    fn default() -> Self {
        Self::new(VersionNumber::default(), Deployment::default())
    }
}
