use std::time::Duration;

use super::{Accepted, Rejection};

/// A row that must have the given revision, 0 for absent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// Revision.
    pub revision: u64,
}

/// A new value of a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// Value.
    pub value: String,
}

/// What the caller of a submission has to do. Each action but `Done` is answered
/// by exactly one [`super::Event`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read rows of the table.
    Read(Vec<String>),
    /// Write an object.
    Put {
        /// Name.
        name: String,
        /// Content.
        bytes: Vec<u8>,
    },
    /// Commit rows under conditions.
    Commit {
        /// Operation id of the commit.
        operation: String,
        /// Conditions.
        conditions: Vec<Condition>,
        /// Changes.
        writes: Vec<Write>,
    },
    /// Give [`super::Event::Waited`] after this time.
    Wait(Duration),
    /// The submission is settled.
    Done(Result<Accepted, Rejection>),
}
