use std::time::Duration;

use super::{Accepted, Rejection};

/// A condition of a commit: the row must have the given revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// Revision that the row must have, or 0 if the row must be absent.
    pub revision: u64,
}

/// A row to write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// New value of the row.
    pub value: String,
}

/// An action that the caller of a submission carries out. Each action except `Done` leads to
/// exactly one [`super::Event`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read the rows with these keys from the table.
    Read(Vec<String>),
    /// Write an object to the object store.
    Put {
        /// Name of the object.
        name: String,
        /// Content of the object.
        bytes: Vec<u8>,
    },
    /// Commit rows under conditions.
    Commit {
        /// Operation id of the commit.
        operation: String,
        /// Conditions that must all hold.
        conditions: Vec<Condition>,
        /// Rows to write if the conditions hold.
        writes: Vec<Write>,
    },
    /// Pass [`super::Event::Waited`] after this time.
    Wait(Duration),
    /// The submission has ended with this result.
    Done(Result<Accepted, Rejection>),
}
