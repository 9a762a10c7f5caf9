//! Messages between nodes, encoded by `rmp-serde`.

use bytes::Bytes;
use derive_more::{Display, Error, From};
use serde::{Serialize, de::DeserializeOwned};

/// An encoded message of the peer port.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame(Bytes);

/// Why a message could not be encoded or decoded.
#[derive(Debug, Display, Error, From)]
pub enum FrameError {
    /// The message could not be encoded.
    #[display("can't encode a peer message: {_0}")]
    Encode(rmp_serde::encode::Error),
    /// The bytes are not a message that this version knows.
    #[display("can't decode a peer message: {_0}")]
    Decode(rmp_serde::decode::Error),
}

impl Frame {
    /// Encodes a message, with field names so that versions can differ by added fields.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError::Encode`] if the message has no encoding.
    pub fn encode<T: Serialize>(message: &T) -> Result<Self, FrameError> {
        Ok(Self(rmp_serde::to_vec_named(message)?.into()))
    }

    /// Decodes the message.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError::Decode`] if the bytes do not encode a `T`.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, FrameError> {
        Ok(rmp_serde::from_slice(&self.0)?)
    }

    /// Wraps received bytes.
    #[must_use]
    pub fn from_bytes(bytes: Bytes) -> Self {
        Self(bytes)
    }

    /// Returns the bytes to send.
    #[must_use]
    pub fn into_bytes(self) -> Bytes {
        self.0
    }
}
