//! The transactional table service.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Call;

/// A row as read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key, unique in the table.
    pub key: String,
    /// Revision of the last change; conditions state an absent row as 0.
    pub revision: u64,
    /// Value as the writer gave it; the table does not interpret it.
    pub value: String,
    /// Operation id of the commit that wrote the row.
    pub operation: String,
}

/// A precondition of a commit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// Revision that the row must have, 0 for absent.
    pub revision: u64,
}

/// A change of one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// New value, or `None` to delete the row.
    pub value: Option<String>,
}

/// A change of several rows that takes effect as a whole or not at all.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Commit {
    /// Unique id, by which a writer whose response was lost finds its commit.
    pub operation: String,
    /// Preconditions, which all must hold.
    pub conditions: Vec<Condition>,
    /// Changes to make, one for each row.
    pub writes: Vec<Write>,
}

/// The table service.
pub trait Table {
    /// Reads rows by key; absent rows are left out.
    fn read(&self, keys: Vec<String>) -> Call<'_, BTreeMap<String, Row>>;
    /// Reads the rows whose keys start with a prefix, in order.
    fn scan(&self, prefix: String) -> Call<'_, Vec<Row>>;
    /// Commits changes and returns the new revision.
    fn commit(&self, commit: Commit) -> Call<'_, u64>;
}

/// A changed row of a feed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Key of the row.
    pub key: String,
    /// Revision of the change.
    pub revision: u64,
    /// New value, or `None` if the row was deleted.
    pub value: Option<String>,
}

/// The rows of a table as of one revision, or the changes since an earlier one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Rows or changes, in order.
    pub changes: Vec<Change>,
    /// Revision up to which the batch is complete.
    pub revision: u64,
}

/// The response of a change feed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FeedResponse {
    /// The changes, or none if the wait ended first.
    Changes(Batch),
    /// The feed no longer has the requested history. The whole table must be
    /// read again.
    HistoryLost,
}

/// A table service with change feeds.
pub trait Watch: Table {
    /// Waits for changes of a table after revision `after`, for `wait` at most.
    fn changes(
        &self,
        table: &'static str,
        after: u64,
        wait: std::time::Duration,
    ) -> Call<'_, FeedResponse>;
    /// Reads all rows of one part of a table as of one revision.
    fn snapshot(&self, table: &'static str, part: String) -> Call<'_, Batch>;
    /// Reads the rows whose keys start with `prefix` from `from` on, in order,
    /// as many as fit one response.
    fn range(&self, prefix: String, from: String) -> Call<'_, Vec<Row>>;
}
