use bytes::Bytes;
use tamarackdock_platform::table::Commit;
use tamarackdock_types::clock::Instant;

use crate::{Batch, NodeRun};

/// An action that the usage task carries out for the state machines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read rows by key and pass the result to [`Input::Rows`](crate::Input::Rows).
    Read {
        /// Number that the result must repeat.
        request: u64,
        /// Keys of the rows to read.
        keys: Vec<String>,
    },
    /// Read rows by key prefix and pass the result to [`Input::Rows`](crate::Input::Rows).
    Scan {
        /// Number that the result must repeat.
        request: u64,
        /// Prefix of the keys of the rows to read.
        prefix: String,
    },
    /// Commit and pass the result to [`Input::Done`](crate::Input::Done).
    Commit {
        /// Number that the result must repeat.
        request: u64,
        /// Writes and their conditions.
        commit: Commit,
    },
    /// Check the permit of the shard's lease, send the report directly afterwards, and pass the
    /// result to [`Input::Done`](crate::Input::Done).
    Report {
        /// Number that the result must repeat.
        request: u64,
        /// Number under which the platform accepts the report.
        report: u64,
        /// Report as sealed.
        bytes: Bytes,
    },
    /// Send all unflushed batches to the peer that keeps copies of them.
    Copy {
        /// Run of the node that counted the usage.
        origin: NodeRun,
        /// Batches in the order of their numbers.
        batches: Vec<Batch>,
    },
    /// Call `step` with [`Input::Tick`](crate::Input::Tick) at this time.
    Wake(Instant),
    /// The lease's epoch has ended, so this reporter must be dropped.
    Stopped,
}
