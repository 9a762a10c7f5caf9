use bytes::Bytes;
use tamarackdock_platform::table::Commit;
use tamarackdock_types::clock::Instant;

use crate::{Batch, Keys};

/// What the usage task does for the state machines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read rows by key and answer with [`Input::Rows`](crate::Input::Rows).
    Read {
        /// Number of the request.
        request: u64,
        /// Keys of the rows.
        keys: Vec<String>,
    },
    /// Read rows by prefix and answer with [`Input::Rows`](crate::Input::Rows).
    Scan {
        /// Number of the request.
        request: u64,
        /// Start of the keys.
        prefix: String,
    },
    /// Commit and answer with [`Input::Done`](crate::Input::Done).
    Commit {
        /// Number of the request.
        request: u64,
        /// Commit to send.
        commit: Commit,
    },
    /// Check the permit of the shard's lease, send the report at once, and answer
    /// with [`Input::Done`](crate::Input::Done).
    Report {
        /// Number of the request.
        request: u64,
        /// Number of the report at the interface.
        report: u64,
        /// Sealed bytes.
        bytes: Bytes,
    },
    /// Send all unflushed batches to the peer that keeps copies.
    Copy {
        /// Run that counted.
        origin: Keys,
        /// Batches in order.
        batches: Vec<Batch>,
    },
    /// Step again with [`Input::Tick`](crate::Input::Tick) at this time.
    Wake(Instant),
    /// The lease's epoch has ended; drop this reporter.
    Stopped,
}
