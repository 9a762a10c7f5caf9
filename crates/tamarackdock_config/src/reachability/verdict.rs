/// Whether a node may go on with its keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The active version was the newest one a short time ago.
    Confirmed,
    /// The store is down for all nodes, so that nothing can be withdrawn.
    StoreDown,
    /// Keys may have been withdrawn; keyed calls are refused as not run.
    CutOff,
}

impl Verdict {
    /// Tells whether keyed calls are served.
    #[must_use]
    pub const fn serves_keys(self) -> bool {
        matches!(self, Self::Confirmed | Self::StoreDown)
    }
}
