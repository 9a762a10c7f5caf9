use super::Name;

/// A load that is due.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Load {
    /// Target that loads.
    pub target: Name,
    /// Model whose weights it loads.
    pub model: Name,
    /// Version of the weights.
    pub version: u64,
}
