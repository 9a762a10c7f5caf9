use std::collections::BTreeMap;

use tamarackdock_platform::{Error, table};

/// What the lease task tells the state machine.
#[derive(Debug, Clone)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// The result of a read. Results of superseded requests are ignored.
    Read {
        /// Number of the request.
        request: u64,
        /// Rows that exist, by key.
        result: Result<BTreeMap<String, table::Row>, Error>,
    },
    /// The result of a commit. Results of superseded requests are ignored.
    Committed {
        /// Number of the request.
        request: u64,
        /// Revision of the written rows.
        result: Result<u64, Error>,
    },
    /// Acquire the lease and hold it.
    Want,
    /// Stop acting as holder now, and let another candidate take the lease at once.
    Release,
}
