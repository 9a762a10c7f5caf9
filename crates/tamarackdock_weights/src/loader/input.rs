use tamarackdock_types::{TargetName, weight::Version};

use super::OrderId;

/// State that an engine reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// The engine serves calls.
    Serving,
    /// The engine loads weights and serves no calls.
    Loading,
}

/// Input of the loader.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// The weight store's newest version and rate.
    Latest {
        /// Newest version.
        version: Version,
        /// How many engines may load weights each second.
        loads_per_second: f64,
    },
    /// A load report of an engine. Reports of one engine arrive in the order in
    /// which they were made, see [`super::MAX_REPORT_AGE`] for their age.
    Reported {
        /// Engine that the report is of.
        target: TargetName,
        /// Largest number of concurrent calls.
        capacity: u32,
        /// Weight version that the engine serves.
        version: Version,
        /// Whether the engine serves calls or loads weights.
        state: State,
    },
    /// An engine has left the service.
    Removed(TargetName),
    /// An ordered load is complete.
    Loaded(OrderId),
    /// An ordered load has failed, and the engine serves its old version.
    Failed(OrderId),
    /// The outcome of an ordered load is unknown.
    Unknown(OrderId),
    /// Time has passed. Ticks must come at least ten times a second.
    Tick,
}
