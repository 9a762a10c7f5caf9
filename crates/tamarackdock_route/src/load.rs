/// Estimate of a target's load from its lagging reports and the node's own calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    reported: u32,
    own: u32,
    own_at_report: u32,
}

impl Load {
    /// Returns the estimated number of calls on the target: the last report,
    /// corrected by the node's own calls since then, because reports lag.
    #[must_use]
    pub fn estimate(self) -> u32 {
        let others = self.reported.saturating_sub(self.own_at_report);
        others.saturating_add(self.own)
    }

    /// Returns the number of the node's own calls in flight.
    #[must_use]
    pub fn own(self) -> u32 {
        self.own
    }

    pub(crate) fn start(&mut self) {
        self.own += 1;
    }

    pub(crate) fn finish(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    pub(crate) fn report(&mut self, calls: u32) {
        self.reported = calls;
        self.own_at_report = self.own;
    }
}
