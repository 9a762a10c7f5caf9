use std::collections::BTreeMap;

use tamarackdock_platform::{Error, table};

/// An event that the lease task passes to the state machine.
#[derive(Debug, Clone)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// The result of a read. Results of superseded requests are ignored.
    Read {
        /// Number of the request, from the action.
        request: u64,
        /// Rows that exist, by key.
        result: Result<BTreeMap<String, table::Row>, Error>,
    },
    /// The result of a commit. Results of superseded requests are ignored.
    Committed {
        /// Number of the request, from the action.
        request: u64,
        /// New revision of the written rows.
        result: Result<u64, Error>,
    },
    /// Acquire the lease and hold it.
    Acquire,
    /// Stop acting as holder immediately, and release the row so that another candidate can take
    /// it without waiting for the lease to expire.
    Release,
}
