//! Keys of client accounts. Only hashes are stored.

use std::fmt::{self, Write as _};

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

const HASH_BYTES: usize = 32;

/// The SHA-256 hash of a key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Hash([u8; HASH_BYTES]);

/// The string is not the hexadecimal form of a SHA-256 hash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("a key hash has 64 hexadecimal digits; `tamarackctl key hash` prints one")]
pub struct HashError;

impl Hash {
    /// Hashes a key as a caller sends it.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Parses the hexadecimal form.
    ///
    /// # Errors
    ///
    /// Returns [`HashError`] if `text` is not 64 hexadecimal digits.
    pub fn parse(text: &str) -> Result<Self, HashError> {
        let mut bytes = [0; HASH_BYTES];
        // `from_str_radix` takes a sign as well.
        let is_hexadecimal = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if text.len() != 2 * HASH_BYTES || !is_hexadecimal {
            return Err(HashError);
        }
        for (byte, digits) in bytes.iter_mut().zip(text.as_bytes().chunks(2)) {
            let digits = std::str::from_utf8(digits).map_err(|_| HashError)?;
            *byte = u8::from_str_radix(digits, 16).map_err(|_| HashError)?;
        }
        Ok(Self(bytes))
    }
}

impl fmt::Display for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Hash({self})")
    }
}

impl TryFrom<String> for Hash {
    type Error = HashError;

    fn try_from(text: String) -> Result<Self, HashError> {
        Self::parse(&text)
    }
}

impl From<Hash> for String {
    fn from(hash: Hash) -> Self {
        let mut text = Self::new();
        let _ = write!(text, "{hash}");
        text
    }
}
