//! Spans of tokens.

use serde::{Deserialize, Serialize};
use tamarackdock_types::weight::Version;

/// Consecutive tokens that one weight version produced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    /// Number of tokens in the span.
    pub tokens: u32,
    /// Version that the engine reported for them.
    #[serde(rename = "weight_version")]
    pub version: Version,
}
