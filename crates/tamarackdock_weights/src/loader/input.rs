use tamarackdock_types::{TargetName, weight::Version};

use super::Order;

/// What an engine reports of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It serves calls.
    Serving,
    /// It loads weights and serves no calls.
    Loading,
}

/// A message to the loader.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// The weight store's newest version and rate.
    Latest {
        /// Newest version.
        version: Version,
        /// How many engines may load weights each second.
        loads_per_second: f64,
    },
    /// A load report of an engine. Reports of one engine come in the order in
    /// which they were made, see [`super::REPORT_LAG`] for their age.
    Reported {
        /// Engine.
        target: TargetName,
        /// Calls that it runs at once.
        capacity: u32,
        /// Version that it serves.
        version: Version,
        /// State.
        state: State,
    },
    /// An engine left the service.
    Gone(TargetName),
    /// An ordered load is complete.
    Loaded(Order),
    /// An ordered load failed, and the engine serves its old version.
    Failed(Order),
    /// The outcome of an ordered load is unknown.
    Unknown(Order),
    /// Time has passed. Ticks come at least ten times a second.
    Tick,
}
