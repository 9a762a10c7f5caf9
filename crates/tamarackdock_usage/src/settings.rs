use std::time::Duration;

/// Time spans of counting and reporting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Time between copies of unflushed counts to a peer, the most that a killed
    /// node loses.
    pub copy: Duration,
    /// Time between flushes to the table.
    pub flush: Duration,
    /// Time between tries after a failure.
    pub retry: Duration,
}
