use tamarackdock_platform::table::Commit;
use tamarackdock_types::{clock::Instant, fence::Epoch};

/// What the lease task does for the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read rows and answer with [`Input::Read`](crate::Input::Read).
    Read {
        /// Number of the request.
        request: u64,
        /// Keys of the rows.
        keys: Vec<String>,
    },
    /// Commit and answer with [`Input::Committed`](crate::Input::Committed).
    Commit {
        /// Number of the request.
        request: u64,
        /// Commit to send.
        commit: Commit,
    },
    /// Step again with [`Input::Tick`](crate::Input::Tick) at this time.
    Wake(Instant),
    /// The lease is held under this epoch.
    Acquired(Epoch),
    /// The epoch has ended, the role must stop.
    Lost(Epoch),
}
