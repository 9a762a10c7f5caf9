use std::rc::Rc;

use serde::{Deserialize, Serialize};

/// How an item ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The text is the whole output.
    Completed,
    /// The item was given up.
    Aborted,
}

/// The result of an item. Its position in the list and its content never change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Id of the item.
    pub id: String,
    /// How it ended.
    pub state: State,
    /// Data of all events in order, separated by line feeds.
    pub text: String,
    /// Versions of the weights that made the text, in order of their first use.
    pub versions: Vec<u64>,
}

/// Some results of a batch job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Number of items of the job.
    pub total: usize,
    /// Position of the first result.
    pub after: usize,
    /// Results.
    pub results: Vec<Rc<Listed>>,
}

/// Largest text of a page in bytes, so that its encoded form stays under 1 MB.
const MAX_PAGE: usize = 600 * 1024;

impl Page {
    /// Makes a page from the results from `after` on: at least one if there is
    /// one, and as many as one answer holds.
    #[must_use]
    pub fn of(total: usize, after: usize, results: &[Rc<Listed>]) -> Self {
        let mut size = 0;
        let fitting = results.iter().take_while(|result| {
            let first = size == 0;
            size += result.text.len() + result.id.len() + 1;
            first || size < MAX_PAGE
        });
        Self { total, after, results: fitting.cloned().collect() }
    }
}
