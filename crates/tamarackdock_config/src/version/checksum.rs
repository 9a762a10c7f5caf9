use std::fmt;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

const BYTES: usize = 32;

/// The SHA-256 checksum of a configuration's canonical form.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Checksum([u8; BYTES]);

/// The error of a string that is not the hexadecimal form of a checksum.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("a checksum has 64 hexadecimal digits")]
pub struct ChecksumError;

impl Checksum {
    /// Computes the checksum of bytes.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }
}

impl fmt::Display for Checksum {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Checksum {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Checksum({self})")
    }
}

impl TryFrom<String> for Checksum {
    type Error = ChecksumError;

    fn try_from(text: String) -> Result<Self, ChecksumError> {
        let mut bytes = [0; BYTES];
        if text.len() != 2 * BYTES || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(ChecksumError);
        }
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| ChecksumError)?;
        }
        Ok(Self(bytes))
    }
}

impl From<Checksum> for String {
    fn from(checksum: Checksum) -> Self {
        checksum.to_string()
    }
}
