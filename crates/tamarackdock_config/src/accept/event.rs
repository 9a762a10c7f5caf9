use std::collections::BTreeMap;

/// A row as read from the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Revision of the last change.
    pub revision: u64,
    /// Value after that change.
    pub value: String,
}

/// Rows by key; absent rows are left out.
pub type Rows = BTreeMap<String, Row>;

/// The result of an [`super::Action`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The rows were read.
    Read(Rows),
    /// The object was written.
    Stored,
    /// The commit took effect.
    Committed,
    /// A condition of the commit did not hold.
    Refused,
    /// No response arrived; a write may have taken effect or may do so later.
    Lost,
    /// The requested wait is over.
    Waited,
}
