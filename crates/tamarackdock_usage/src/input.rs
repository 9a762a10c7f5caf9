use tamarackdock_platform::{Error, table::Row};

/// An event that the usage task passes to the state machines.
#[derive(Debug, Clone)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// The result of a read or scan.
    Rows {
        /// Number of the request, from the action.
        request: u64,
        /// Rows that exist.
        result: Result<Vec<Row>, Error>,
    },
    /// The result of a commit or report.
    Done {
        /// Number of the request, from the action.
        request: u64,
        /// Whether the commit or report took effect.
        result: Result<(), Error>,
    },
}
