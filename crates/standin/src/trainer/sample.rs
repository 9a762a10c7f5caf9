use serde::{Deserialize, Serialize};
use tamarackdock_types::weight::Version;

/// Consecutive tokens that were generated with one weight version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Span {
    pub(super) tokens: u64,
    pub(super) weight_version: Version,
}

/// A sample in a node's response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Sample {
    pub(super) group: usize,
    pub(super) index: usize,
    pub(super) text: String,
    pub(super) token_ids: Vec<u32>,
    pub(super) spans: Vec<Span>,
}

/// Response to a read, with the samples from a cursor on.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub(super) struct Page {
    pub(super) samples: Vec<Sample>,
    pub(super) next_cursor: u64,
    pub(super) complete: bool,
}
