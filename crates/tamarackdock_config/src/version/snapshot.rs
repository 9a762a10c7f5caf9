use std::rc::Rc;

use derive_more::{Display, Error};

use super::{Checksum, Number, canonical};
use crate::Deployment;

/// A complete version of the configuration, which is cheap to clone.
#[derive(Debug, Clone, PartialEq)]
pub struct Snapshot {
    number: Number,
    checksum: Checksum,
    deployment: Rc<Deployment>,
}

/// The reason why a full copy can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum CopyError {
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
    pub fn new(number: Number, deployment: Deployment) -> Self {
        let deployment = canonical::sorted(deployment);
        let checksum = Checksum::of(&canonical::bytes(&deployment));
        Self { number, checksum, deployment: Rc::new(deployment) }
    }

    /// Decodes and checks a full copy from a peer or the object store.
    ///
    /// # Errors
    ///
    /// Returns [`CopyError`] if the bytes are damaged or can't be read by this release.
    pub fn from_bytes(number: Number, expected: Checksum, bytes: &[u8]) -> Result<Self, CopyError> {
        if Checksum::of(bytes) != expected {
            return Err(CopyError::Checksum);
        }
        let deployment = serde_json::from_slice(bytes).map_err(|_| CopyError::Format)?;
        let snapshot = Self::new(number, deployment);
        if snapshot.checksum == expected { Ok(snapshot) } else { Err(CopyError::Format) }
    }

    /// Returns the canonical form, as JSON.
    #[must_use]
    pub fn bytes(&self) -> Vec<u8> {
        canonical::bytes(&self.deployment)
    }

    /// Returns the number of the version.
    #[must_use]
    pub const fn number(&self) -> Number {
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
        Self::new(Number::default(), Deployment::default())
    }
}
