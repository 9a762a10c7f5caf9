use std::collections::BTreeMap;

/// A row as read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Revision of the last change.
    pub revision: u64,
    /// Value.
    pub value: String,
}

/// Rows by key; absent rows are left out.
pub type Rows = BTreeMap<String, Row>;

/// Result of an [`super::Action`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Rows that were read.
    Read(Rows),
    /// The object is written.
    Stored,
    /// The commit took effect.
    Committed,
    /// A condition of the commit did not hold.
    Refused,
    /// No response; a write may have taken effect or may do so later.
    Lost,
    /// The time to wait is over.
    Waited,
}
