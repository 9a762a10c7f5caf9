//! The transactional table service.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Call;

/// A row as read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key.
    pub key: String,
    /// Revision of the last change, 0 for an absent row in conditions.
    pub revision: u64,
    /// Value.
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
    /// Preconditions.
    pub conditions: Vec<Condition>,
    /// Changes.
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
