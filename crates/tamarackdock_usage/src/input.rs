use tamarackdock_platform::{Error, table::Row};

/// What the usage task tells the state machines.
#[derive(Debug, Clone)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// The result of a read or scan.
    Rows {
        /// Number of the request.
        request: u64,
        /// Rows that exist.
        result: Result<Vec<Row>, Error>,
    },
    /// The result of a commit or report.
    Done {
        /// Number of the request.
        request: u64,
        /// Whether it took effect.
        result: Result<(), Error>,
    },
}
