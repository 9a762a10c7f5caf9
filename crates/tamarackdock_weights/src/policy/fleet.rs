use tamarackdock_types::{TargetName, weight::Version};

/// An engine that is behind and can be ordered to load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Engine.
    pub target: TargetName,
    /// Calls that it runs at once.
    pub capacity: u64,
    /// Version that it serves.
    pub version: Version,
}

/// The engines of a service as the choice depends on them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Fleet {
    /// Capacity of all engines.
    pub capacity: u64,
    /// Capacity of the engines that load, or may be loading.
    pub away: u64,
    /// Loads that the weight store's rate allows now.
    pub permits: usize,
    /// Engines that are behind, oldest version first.
    pub candidates: Vec<Candidate>,
}
