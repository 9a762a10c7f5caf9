use std::time::Duration;

/// Intervals of counting and reporting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Time between copies of unflushed counts to a peer. A killed node loses at most the
    /// counts of this time.
    pub copy: Duration,
    /// Time between flushes to the table.
    pub flush: Duration,
    /// Time between attempts after a failure.
    pub retry: Duration,
}
