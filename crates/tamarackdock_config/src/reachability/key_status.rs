/// Whether a node may go on serving the keys of its active version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyStatus {
    /// The active version was recently confirmed to be the newest one.
    Confirmed,
    /// The store is down for all nodes, so that no key can be withdrawn.
    StoreDown,
    /// Keys may have been withdrawn. Calls with keys are refused as not run.
    CutOff,
}

impl KeyStatus {
    /// Returns whether calls with keys are served.
    #[must_use]
    pub const fn serves_keys(self) -> bool {
        matches!(self, Self::Confirmed | Self::StoreDown)
    }
}
