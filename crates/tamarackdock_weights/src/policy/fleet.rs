use tamarackdock_types::{TargetName, weight::Version};

/// An engine that serves an old version and can be ordered to load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the engine.
    pub target: TargetName,
    /// Largest number of concurrent calls.
    pub capacity: u64,
    /// Weight version that the engine serves.
    pub version: Version,
}

/// Properties of a service's engines on which the choice of the next loads depends.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Fleet {
    /// Capacity of all engines, in concurrent calls.
    pub capacity: u64,
    /// Capacity of the engines that load or may be loading, in concurrent calls.
    pub loading: u64,
    /// Number of loads that the weight store's rate allows now.
    pub permits: usize,
    /// Engines that serve an old version and can be ordered to load, oldest
    /// version first.
    pub candidates: Vec<Candidate>,
}
