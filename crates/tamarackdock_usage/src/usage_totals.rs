use std::ops::AddAssign;

use serde::{Deserialize, Serialize};

/// Calls and tokens of one client account.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageTotals {
    /// Number of calls that ran.
    pub calls: u64,
    /// Number of tokens that targets processed.
    pub tokens: u64,
}

impl AddAssign for UsageTotals {
    fn add_assign(&mut self, other: Self) {
        self.calls += other.calls;
        self.tokens += other.tokens;
    }
}
