use bytes::Bytes;
use tamarackdock_types::clock::Instant;

/// An object of this step that the holder keeps in memory.
#[derive(Debug)]
pub(super) struct Chunk {
    pub(super) bytes: Bytes,
    pub(super) state: State,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum State {
    /// Sent to the store.
    Sending {
        /// Failures so far.
        failures: u32,
    },
    /// To be sent again.
    Failed {
        /// Failures so far.
        failures: u32,
        /// Time of the next attempt.
        at: Instant,
    },
    /// In the store.
    Stored,
}

/// A sample that is in no object yet.
#[derive(Debug, Clone)]
pub(super) struct Staged {
    pub(super) body: Bytes,
    pub(super) oldest: tamarackdock_types::weight::Version,
    pub(super) newest: tamarackdock_types::weight::Version,
}
