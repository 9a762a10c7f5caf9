use tamarackdock_platform::{
    Error,
    order::{Class, ListedTarget},
};
use tamarackdock_types::TargetName;

use crate::TargetCounts;

/// Input of the state machine that orders targets.
#[derive(Debug, Clone)]
pub enum Input {
    /// Time has passed, or the lease has changed.
    Tick,
    /// The plan has changed.
    Plan(TargetCounts),
    /// The targets that can be started, with the classes in which they run.
    Pool(Vec<(TargetName, Class)>),
    /// The result of a list request.
    Listed {
        /// Number of the request, from [`Action::List`](crate::Action::List).
        request: u64,
        /// Targets of the data centre.
        result: Result<Vec<ListedTarget>, Error>,
    },
    /// The result of committing an order's record.
    Recorded {
        /// Number of the request, from [`Action::Record`](crate::Action::Record).
        request: u64,
        /// Revision of the record.
        result: Result<u64, Error>,
    },
    /// The result of an order.
    Sent {
        /// Number of the request, from [`Action::Send`](crate::Action::Send).
        request: u64,
        /// Whether the receiver accepted the order.
        result: Result<(), Error>,
    },
}
