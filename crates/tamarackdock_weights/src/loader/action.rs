use tamarackdock_types::{TargetName, weight::Version};

use super::OrderId;

/// What the caller of the loader must do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Order an engine to load weights.
    Load {
        /// Id to be passed back with the order's outcome.
        order: OrderId,
        /// Engine that loads the weights.
        target: TargetName,
        /// Weight version to load.
        version: Version,
    },
    /// All known engines serve the newest version.
    Done(Version),
}
