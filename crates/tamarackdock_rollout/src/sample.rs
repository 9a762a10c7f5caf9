//! Samples.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{attempt::Attempt, slot::Slot, span::Span};

/// A finished sample, as the trainer gets it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// Slot that the sample fills.
    #[serde(flatten)]
    pub slot: Slot,
    /// Token ids.
    #[serde(rename = "token_ids")]
    pub tokens: Vec<u32>,
    /// Text of the tokens.
    pub text: String,
    /// Versions that produced the tokens, in order.
    pub spans: Vec<Span>,
    /// Attempt that finished the sample.
    pub attempt: Attempt,
}

impl Sample {
    /// Encodes the sample as JSON. The bytes are stored and handed over as
    /// they are, so that repeated reads are equal.
    ///
    /// # Errors
    ///
    /// Returns an error if JSON can't hold the sample.
    pub fn encode(&self) -> Result<Bytes, serde_json::Error> {
        serde_json::to_vec(self).map(Bytes::from)
    }
}
