/// A model with its trainer's needs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Model {
    /// Newest published version.
    pub published: u64,
    /// Work that its trainer requests, in any unit that all models share. If it is 0 for all
    /// models, they have equal shares.
    pub demand: u64,
    /// Oldest version that each open step accepts.
    pub open_steps: Vec<u64>,
    /// Rank of the work; 0 is the highest.
    pub rank: u32,
}

impl Model {
    /// Returns whether an open step waits for weights that are published, but newer than the newest
    /// ones that a target has or loads.
    pub(super) fn is_blocked(&self, newest_expected: u64) -> bool {
        self.open_steps.iter().any(|oldest| (newest_expected + 1..=self.published).contains(oldest))
    }
}
