use std::time::Duration;

/// Decision on a call. Each call gets exactly one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// The call starts now. Its end must be reported with
    /// [`Admission::finish`](crate::Admission::finish).
    Start {
        /// Id of the call, see [`Call::id`](crate::Call::id).
        id: u64,
    },
    /// The call is refused and has not run.
    Refuse {
        /// Id of the call, see [`Call::id`](crate::Call::id).
        id: u64,
        /// Time after which the same call would be served before its
        /// deadline, at the current drain rate and without further calls.
        retry_after: Duration,
    },
}
