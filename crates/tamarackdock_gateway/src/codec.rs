//! Encoding of messages between nodes.
//!
//! Nodes of two releases run side by side while hosts are replaced. Structures are maps with the
//! names of their fields, so that an earlier release ignores a field that it doesn't know, and a
//! later one reads messages without a field that has a default.

use serde::{Serialize, de::DeserializeOwned};

/// Encodes a message.
pub(crate) fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    rmp_serde::to_vec_named(message)
}

/// Decodes a message. Structures of earlier releases are sequences.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, rmp_serde::decode::Error> {
    rmp_serde::from_slice(bytes)
}
