//! Finished samples and their encoding.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{attempt::Attempt, slot::Slot, span::Span};

/// A finished sample, as the trainer gets it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// Slot that the sample fills.
    #[serde(flatten)]
    pub slot: Slot,
    /// Ids of the generated tokens, without the prompt.
    #[serde(rename = "token_ids")]
    pub tokens: Vec<u32>,
    /// Text that the tokens stand for.
    pub text: String,
    /// Weight versions that produced the tokens, in the order of the tokens.
    pub spans: Vec<Span>,
    /// Attempt that finished the sample.
    pub attempt: Attempt,
}

impl Sample {
    /// Encodes the sample as JSON. These bytes are stored and delivered
    /// unchanged, so that repeated reads return the same bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the sample can't be encoded as JSON.
    pub fn encode(&self) -> Result<Bytes, serde_json::Error> {
        serde_json::to_vec(self).map(Bytes::from)
    }
}
