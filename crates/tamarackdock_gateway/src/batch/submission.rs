use bytes::Bytes;

use super::job::JobItem;
use crate::{deployment::Name, http::Headers, wire_format::DecodeError};

/// Reads a batch job from the pieces of its text. Its items are passed on one by one, so that those
/// that are not needed take no memory.
pub trait SubmissionReader {
    /// Passes over the next items without decoding them, except those that were to be passed over
    /// before.
    fn skip(&mut self, items: usize);
    /// Reads the next piece, and passes on the items that end in it.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] if the text is not a batch job.
    fn read(&mut self, text: &[u8], take: &mut dyn FnMut(Item)) -> Result<(), DecodeError>;
    /// Returns the job without its items, once all its text was read.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] if the text is not a batch job.
    fn finish(&self) -> Result<Submission, DecodeError>;
}

/// A batch job as it is submitted.
#[derive(Debug, Clone, PartialEq)]
pub struct Submission {
    /// Model that the items are for, `None` if they are not samples of a trainer.
    pub model: Option<Name>,
    /// Number of the trainer's step.
    pub step: u64,
    /// Oldest version of the weights that may produce a result.
    pub min_version: u64,
    /// Number of complete groups that the trainer waits for.
    pub wanted_groups: usize,
    /// Requests of the job, each with its own result.
    pub items: Vec<Item>,
}

/// One request of a batch job.
#[derive(Debug, Clone, PartialEq)]
pub struct Item {
    /// Id within the job, sent to targets as the id of the request.
    pub id: Name,
    /// Path of the request to the target.
    pub path: String,
    /// Header fields as submitted. Connection-level fields, the host and those that
    /// the node sets itself are not sent on.
    pub headers: Headers,
    /// Request body, sent unchanged.
    pub body: Bytes,
    /// Sum of the prompt tokens and the maximum of output tokens.
    pub tokens: u64,
    /// Estimated output tokens, if the trainer provides them.
    pub expected_tokens: Option<u64>,
    /// Group of items that share a prompt.
    pub group: Name,
    /// Call whose answer scores the complete text, if the trainer wants a score.
    pub scoring: Option<ScoringCall>,
}

/// The call that scores an item. It is sent once the item's text is complete, and the
/// signature of its answer becomes the score of the item's result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScoringCall {
    /// Id of the request, unique within the job.
    pub id: Name,
    /// Value of the `Host` field, which selects the route.
    pub host: String,
    /// Path of the request, which selects the route.
    pub path: String,
    /// Request body, sent unchanged.
    pub body: Bytes,
}

/// Memory that each token of an item may take in its text. Tokens have a few bytes, and an event may
/// hold a single one.
const BYTES_PER_TOKEN: u64 = 64;
/// Memory that the text of any item may take.
const MIN_TEXT_BYTES: u64 = 64 * 1024;
/// Memory that no text may exceed. A page of results has at most 1 MB.
const MAX_TEXT_BYTES: u64 = 1024 * 1024;

/// Memory of an item and of its allocations, besides their contents. An item is held twice, by its
/// job and with the state of its runs.
const ITEM_BYTES: usize = size_of::<Item>() + size_of::<JobItem>() + 8 * ALLOCATION_BYTES;
/// Memory that an allocation takes besides its content, about.
const ALLOCATION_BYTES: usize = 16;

impl Item {
    /// Returns about how many bytes of memory the item takes in a job that runs.
    #[must_use]
    pub fn memory(&self) -> usize {
        let scoring = self.scoring.as_ref().map_or(0, |call| {
            call.id.len() + 2 * (call.host.len() + call.path.len()) + call.body.len()
        });
        // Bodies and names are shared.
        let copied = 2 * (self.path.len() + self.headers.memory());
        ITEM_BYTES + self.id.len() + self.group.len() + self.body.len() + copied + scoring
    }

    /// Returns about how many bytes of memory a job takes, by the number of its items and the bytes
    /// of its submission.
    pub(crate) fn memory_of(items: usize, bytes: usize) -> usize {
        items.saturating_mul(ITEM_BYTES).saturating_add(bytes)
    }

    /// Returns the bytes of memory that the item's text may take. A target that sends more goes on
    /// without end.
    #[must_use]
    pub fn max_text_bytes(&self) -> usize {
        let bytes = self.tokens.saturating_mul(BYTES_PER_TOKEN).saturating_add(MIN_TEXT_BYTES);
        usize::try_from(bytes.min(MAX_TEXT_BYTES)).unwrap_or(usize::MAX)
    }

    /// Returns the estimated output tokens. Without an estimate of the trainer this
    /// is a quarter of the upper bound, as few items reach it.
    #[must_use]
    pub fn estimated_tokens(&self) -> u64 {
        self.expected_tokens.unwrap_or(self.tokens / 4)
    }
}

impl Submission {
    /// Returns the estimated output tokens of all items.
    #[must_use]
    pub fn work(&self) -> u64 {
        self.items.iter().map(Item::estimated_tokens).sum()
    }
}
