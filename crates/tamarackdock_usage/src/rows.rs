use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::Counts;

/// Value of a node's cursor row.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// Number of the last batch that is in the table.
    pub flushed: u64,
}

/// Value of a node's row in a window.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRow {
    /// Sum of the flushed batches, by the window in which they were counted.
    pub counts: Counts,
}

/// Stage of a window. An open window has no row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Accepts no more counts.
    Closed,
    /// The report is fixed and may have been sent.
    Sealed {
        /// Bytes of the report, which is JSON text.
        report: String,
        /// SHA-256 of the report in hexadecimal, against changes by hand.
        digest: String,
    },
    /// The report was accepted.
    Sent {
        /// SHA-256 of the report in hexadecimal.
        digest: String,
    },
}

/// Value of a window's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowRow {
    /// Stage.
    pub state: State,
}

pub(crate) fn encode<T: Serialize>(row: &T) -> String {
    serde_json::to_string(row).expect("rows of names and numbers have a JSON form")
}

/// Returns `None` if the value is no such row.
pub(crate) fn decode<T: DeserializeOwned>(value: &str) -> Option<T> {
    serde_json::from_str(value).ok()
}
