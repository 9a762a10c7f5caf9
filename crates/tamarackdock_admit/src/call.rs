use tamarackdock_types::{AccountName, clock::Instant};

/// Which calls come first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Level {
    /// Calls of apps, with short deadlines.
    App,
    /// Samples of trainers.
    Batch,
}

/// A call that asks for admission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Number, unique among the node's calls.
    pub id: u64,
    /// Client account that pays for it.
    pub account: AccountName,
    /// Level.
    pub level: Level,
    /// Tokens that it occupies on a target while it runs.
    pub tokens: u64,
    /// Time at which it must have started.
    pub deadline: Instant,
}
