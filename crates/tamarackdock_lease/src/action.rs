use tamarackdock_platform::table::Commit;
use tamarackdock_types::{clock::Instant, fence::Epoch};

/// An action that the lease task carries out for the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read rows and pass the result to [`Input::Read`](crate::Input::Read).
    Read {
        /// Number that the result must repeat.
        request: u64,
        /// Keys of the rows to read.
        keys: Vec<String>,
    },
    /// Commit and pass the result to [`Input::Committed`](crate::Input::Committed).
    Commit {
        /// Number that the result must repeat.
        request: u64,
        /// Writes and their conditions.
        commit: Commit,
    },
    /// Call [`Lease::step`](crate::Lease::step) with [`Input::Tick`](crate::Input::Tick) at this
    /// time.
    Wake(Instant),
    /// The lease is held under this epoch.
    Acquired(Epoch),
    /// The epoch has ended; the work done as its holder must stop.
    Lost(Epoch),
}
