use tamarackdock_lease::Deadline;
use tamarackdock_platform::{
    order::{Class, Order},
    table::Commit,
};
use tamarackdock_types::{clock::Instant, fence::Epoch};

/// What the spend task does for the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// List the data centre's targets and answer with [`Input::Listed`](crate::Input::Listed).
    List {
        /// Number of the request.
        request: u64,
    },
    /// Commit the record of an order and answer with
    /// [`Input::Recorded`](crate::Input::Recorded).
    Record {
        /// Number of the request.
        request: u64,
        /// Commit to send.
        commit: Commit,
    },
    /// Ask [`Receiver::permit`](crate::Receiver::permit), send the order at once,
    /// and answer with [`Input::Sent`](crate::Input::Sent), without a permit as
    /// `Unreachable`.
    Send {
        /// Number of the request.
        request: u64,
        /// Order to send.
        order: Order,
        /// Deadline of the send.
        deadline: Deadline,
    },
    /// Tell the policy that no target of this class can be had at present.
    Unavailable(Class),
    /// Another holder has the later epoch, no more orders follow under this one.
    Stale(Epoch),
    /// Step again with [`Input::Tick`](crate::Input::Tick) at this time.
    Wake(Instant),
}
