use bytes::Bytes;

use crate::{deployment::Name, http::Headers};

/// A batch job as it is submitted.
#[derive(Debug, Clone, PartialEq)]
pub struct Submission {
    /// Model that the items are for, if they are samples of a trainer.
    pub model: Option<Name>,
    /// Number of the trainer's step.
    pub step: u64,
    /// Oldest version of the weights that may make a result.
    pub min_version: u64,
    /// Number of whole groups that the trainer waits for.
    pub wanted_groups: usize,
    /// Items.
    pub items: Vec<Item>,
}

/// One request of a batch job.
#[derive(Debug, Clone, PartialEq)]
pub struct Item {
    /// Id, told to targets.
    pub id: Name,
    /// Path of the request.
    pub path: String,
    /// Header fields of the request.
    pub headers: Headers,
    /// Body of the request.
    pub body: Bytes,
    /// Prompt tokens and most output tokens together.
    pub tokens: u64,
    /// Estimated output tokens, if the trainer gives them.
    pub expected_tokens: Option<u64>,
    /// Group, whose items share their prompt.
    pub group: Name,
}

impl Item {
    /// Returns the estimated output tokens. Without an estimate a share of the
    /// bound is taken, as few items reach it.
    #[must_use]
    pub fn expected(&self) -> u64 {
        self.expected_tokens.unwrap_or(self.tokens / 4)
    }
}

impl Submission {
    /// Returns the estimated output tokens of all items.
    #[must_use]
    pub fn work(&self) -> u64 {
        self.items.iter().map(Item::expected).sum()
    }
}
