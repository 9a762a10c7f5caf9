use std::sync::Arc;

use tamarackdock_types::weight::Version;

/// The location of a recorded sample and the weight versions of its tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Name of the object that contains the sample.
    pub object: Arc<str>,
    /// Position of the sample in the object, in bytes.
    pub offset: u32,
    /// Length of the encoded sample in bytes.
    pub length: u32,
    /// Oldest weight version that produced tokens of the sample.
    pub oldest: Version,
    /// Newest weight version that produced tokens of the sample.
    pub newest: Version,
}
