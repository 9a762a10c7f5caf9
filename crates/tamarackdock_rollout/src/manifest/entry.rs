use std::sync::Arc;

use tamarackdock_types::weight::Version;

/// Where a recorded sample is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Name of the object.
    pub object: Arc<str>,
    /// Offset in the object in bytes.
    pub offset: u32,
    /// Length in bytes.
    pub length: u32,
    /// Oldest version that produced tokens of the sample.
    pub oldest: Version,
    /// Newest version that produced tokens of the sample.
    pub newest: Version,
}
