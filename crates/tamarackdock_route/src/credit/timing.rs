use std::time::Duration;

/// Time spans of the credit protocol, the same on all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// How long a grant is valid.
    pub validity: Duration,
    /// How long nodes may take to learn of a changed set of live nodes, and
    /// how long a granter may grant without a confirmation of its set.
    pub view_lag: Duration,
    /// Allowance for clocks that run at different speeds over the other two spans.
    pub margin: Duration,
}

impl Timing {
    /// Returns how long a new granter waits before its first grant. The last
    /// confirmation of a former granter may be of a view that lags by
    /// `view_lag`, it may grant for as long again without a further
    /// confirmation, and its last grant is valid after that.
    #[must_use]
    pub fn takeover(&self) -> Duration {
        2 * self.view_lag + self.validity + self.margin
    }
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            validity: Duration::from_secs(1),
            view_lag: Duration::from_secs(2),
            margin: Duration::from_millis(100),
        }
    }
}
