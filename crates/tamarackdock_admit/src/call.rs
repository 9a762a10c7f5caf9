use tamarackdock_types::{AccountName, clock::Instant};

/// Priority level of a call, highest first.
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
    /// Unique among the node's calls.
    pub id: u64,
    /// Client account that pays for it.
    pub account: AccountName,
    /// Priority, which selects the queue.
    pub level: Level,
    /// Tokens that the call occupies on a target while it runs.
    pub tokens: u64,
    /// Time by which the call must have started.
    pub deadline: Instant,
}
