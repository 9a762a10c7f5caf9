use std::rc::Rc;

use derive_more::{Display, Error};

use super::{Checksum, Number, canonical};
use crate::Deployment;

/// One whole configuration version. Cheap to clone.
#[derive(Debug, Clone, PartialEq)]
pub struct Snapshot {
    number: Number,
    checksum: Checksum,
    deployment: Rc<Deployment>,
}

/// A full copy can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum CopyError {
    /// The bytes don't have the announced checksum.
    #[display("the copy of the configuration has another checksum than announced")]
    Checksum,
    /// The bytes are no configuration of this release.
    #[display("the copy of the configuration can't be read by this release")]
    Format,
}

impl Snapshot {
    /// Brings a configuration into canonical form and numbers it.
    #[must_use]
    pub fn new(number: Number, deployment: Deployment) -> Self {
        let deployment = canonical::ordered(deployment);
        let checksum = Checksum::of(&canonical::bytes(&deployment));
        Self { number, checksum, deployment: Rc::new(deployment) }
    }

    /// Checks a full copy from a peer or the object store.
    ///
    /// # Errors
    ///
    /// Returns [`CopyError`] if the bytes are damaged or not readable.
    pub fn from_bytes(number: Number, expected: Checksum, bytes: &[u8]) -> Result<Self, CopyError> {
        if Checksum::of(bytes) != expected {
            return Err(CopyError::Checksum);
        }
        let deployment = serde_json::from_slice(bytes).map_err(|_| CopyError::Format)?;
        let snapshot = Self::new(number, deployment);
        if snapshot.checksum == expected { Ok(snapshot) } else { Err(CopyError::Format) }
    }

    /// Returns the canonical form.
    #[must_use]
    pub fn bytes(&self) -> Vec<u8> {
        canonical::bytes(&self.deployment)
    }

    /// Returns the number.
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
