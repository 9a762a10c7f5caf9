use bytes::Bytes;
use tamarackdock_types::clock::Instant;

/// An object with samples of the step that the holder keeps in memory.
#[derive(Debug)]
pub(super) struct Chunk {
    pub(super) bytes: Bytes,
    pub(super) state: State,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum State {
    /// Sent to the store, which has not responded yet.
    Sending {
        /// Number of earlier writes that failed.
        failures: u32,
    },
    /// To be sent again after a failure.
    Failed {
        /// Number of writes that failed.
        failures: u32,
        /// Time of the next write.
        at: Instant,
    },
    /// Known to be in the store.
    Stored,
}

/// An encoded sample that is not in an object yet.
#[derive(Debug, Clone)]
pub(super) struct StagedSample {
    pub(super) body: Bytes,
    pub(super) oldest: tamarackdock_types::weight::Version,
    pub(super) newest: tamarackdock_types::weight::Version,
}
