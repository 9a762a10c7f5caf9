use std::time::Duration;

/// Times that all nodes share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Terms {
    /// How long a grant is valid.
    pub validity: Duration,
    /// How long nodes may take to learn of a changed set of live nodes, and
    /// how long a granter goes on without a confirmation of its set.
    pub view_lag: Duration,
    /// Allowance for clocks of different speed over the other two times.
    pub margin: Duration,
}

impl Terms {
    /// Returns how long a new granter waits. The last confirmation of a former
    /// one may be of a view that lags, it may grant for as long again without
    /// a further confirmation, and its last grant is valid after that.
    #[must_use]
    pub fn takeover(&self) -> Duration {
        2 * self.view_lag + self.validity + self.margin
    }
}

impl Default for Terms {
    fn default() -> Self {
        Self {
            validity: Duration::from_secs(1),
            view_lag: Duration::from_secs(2),
            margin: Duration::from_millis(100),
        }
    }
}
