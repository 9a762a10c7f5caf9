use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::Counts;

/// The value of a run's cursor row.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// Number of the last batch that is in the table.
    pub flushed: u64,
}

/// The value of a run's row in a window.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRow {
    /// Sum of the flushed batches, by the window in which they were counted.
    pub counts: Counts,
}

/// The state of a window. An open window has no row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The window accepts no more counts.
    Closed,
    /// The report can no longer change, and may have been sent.
    Sealed {
        /// JSON text of the report, sent byte for byte.
        report: String,
        /// SHA-256 of the report in hexadecimal, which detects changes by hand.
        digest: String,
    },
    /// The platform has accepted the report.
    Sent {
        /// SHA-256 of the report in hexadecimal.
        digest: String,
    },
}

/// The value of a window's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowRow {
    /// State from closing on.
    pub state: State,
}

pub(crate) fn encode<T: Serialize>(row: &T) -> String {
    serde_json::to_string(row).expect("rows of names and numbers have a JSON form")
}

/// Decodes a row. Returns `None` if the value is not such a row.
pub(crate) fn decode<T: DeserializeOwned>(value: &str) -> Option<T> {
    serde_json::from_str(value).ok()
}
