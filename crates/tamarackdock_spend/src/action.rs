use tamarackdock_lease::Deadline;
use tamarackdock_platform::{
    order::{Class, Order},
    table::Commit,
};
use tamarackdock_types::{clock::Instant, fence::Epoch};

/// What the caller of the state machine must do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// List the data centre's targets and pass the result in
    /// [`Input::Listed`](crate::Input::Listed).
    List {
        /// Number that the result must repeat.
        request: u64,
    },
    /// Commit the record of an order and pass the result in
    /// [`Input::Recorded`](crate::Input::Recorded).
    Record {
        /// Number that the result must repeat.
        request: u64,
        /// Commit to send.
        commit: Commit,
    },
    /// Ask [`Receiver::permit`](crate::Receiver::permit), send the order at once,
    /// and pass the result in [`Input::Sent`](crate::Input::Sent). Without a permit
    /// the result is `Unreachable`.
    Send {
        /// Number that the result must repeat.
        request: u64,
        /// Order to send.
        order: Order,
        /// Time by which the order must be sent.
        deadline: Deadline,
    },
    /// Tell the policy that no target of this class is available at present.
    Unavailable(Class),
    /// Another holder has a later epoch; no more orders follow under this one.
    Stale(Epoch),
    /// Call `step` with [`Input::Tick`](crate::Input::Tick) at this time.
    Wake(Instant),
}
