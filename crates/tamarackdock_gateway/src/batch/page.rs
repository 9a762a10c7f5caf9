use std::rc::Rc;

use serde::{Deserialize, Serialize};

/// How an item ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemOutcome {
    /// The text is the complete output.
    Completed,
    /// The item was aborted and has no text.
    Aborted,
}

/// The result of an item. Once committed, its position in the list of results and its
/// content never change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// Id of the item.
    pub id: String,
    /// Whether the item was completed or aborted. Stored under this name.
    pub state: ItemOutcome,
    /// Data of all events in order, separated by line feeds.
    pub text: String,
    /// Versions of the weights that produced the text, in order of their first use.
    pub versions: Vec<u64>,
    /// Signature of the answer to the item's scoring call. `None` for aborted items and for
    /// those without a scoring call.
    #[serde(default)]
    pub score: Option<String>,
}

impl ItemResult {
    /// Returns about how many bytes of memory the result takes.
    pub(crate) fn memory(&self) -> usize {
        let versions = self.versions.len() * size_of::<u64>();
        let score = self.score.as_ref().map_or(0, String::len);
        size_of::<Self>() + ALLOCATIONS_BYTES + self.id.len() + self.text.len() + versions + score
    }
}

impl AsRef<Self> for ItemResult {
    fn as_ref(&self) -> &Self {
        self
    }
}

/// Consecutive results of a batch job, as many as one answer holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Number of items of the job.
    pub total: usize,
    /// Position of the first result of the page.
    pub after: usize,
    /// Results from that position on, empty if there are none yet.
    pub results: Vec<Rc<ItemResult>>,
}

/// Memory that the allocations of a result take besides their contents, about.
const ALLOCATIONS_BYTES: usize = 64;
/// Largest text of a page in bytes, such that the encoded page stays under 1 MB.
const MAX_PAGE_BYTES: usize = 600 * 1024;

impl Page {
    /// Creates a page of `results`, which begin at position `after`. It holds as many
    /// as fit into one answer, and at least one if there is any.
    #[must_use]
    pub fn of(total: usize, after: usize, results: &[Rc<ItemResult>]) -> Self {
        let mut size = 0;
        let fitting = results.iter().take_while(|result| {
            let first = size == 0;
            size += result.text.len() + result.id.len() + 1;
            first || size < MAX_PAGE_BYTES
        });
        Self { total, after, results: fitting.cloned().collect() }
    }
}
