use tamarackdock_types::{TargetName, weight::Version};

use super::Order;

/// What the holder does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Order an engine to load weights.
    Load {
        /// Id.
        order: Order,
        /// Engine.
        target: TargetName,
        /// Version.
        version: Version,
    },
    /// All known engines serve the newest version.
    Done(Version),
}
