use std::time::Duration;

/// A decision on a call. Each call gets one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// The call starts now. Its end must be told.
    Start {
        /// Number of the call.
        id: u64,
    },
    /// The call is refused now, and has not run.
    Refuse {
        /// Number of the call.
        id: u64,
        /// Time after which the same call would be served before its
        /// deadline, at the present drain rate and without further calls.
        retry_after: Duration,
    },
}
