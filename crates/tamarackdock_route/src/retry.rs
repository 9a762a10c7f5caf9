//! Retry budget, which keeps failures from multiplying the load.

#[cfg(test)]
mod tests;

const MILLI_PER_RETRY: u64 = 1000;
/// Largest number of retries that a budget saves up, and the number that a new
/// budget has. All calls in flight on a failing target fail at once, so that a
/// budget without a reserve would refuse to retry most of them.
pub const RESERVE: u64 = 32;

/// Token bucket to which each call adds a fraction of a retry.
#[derive(Debug, Clone)]
pub struct Budget {
    deposit_milli: u64,
    saved_milli: u64,
}

impl Budget {
    /// Creates a budget with a full reserve. `ratio` is the largest share of
    /// retries in calls, from 0 to 1.
    #[must_use]
    pub fn new(ratio: f64) -> Self {
        let milli = (0..=MILLI_PER_RETRY)
            .rev()
            .find(|milli| to_f64(*milli) <= ratio * to_f64(MILLI_PER_RETRY));
        Self { deposit_milli: milli.unwrap_or_default(), saved_milli: RESERVE * MILLI_PER_RETRY }
    }

    /// Records the first attempt of a call, which adds to the budget.
    pub fn record_call(&mut self) {
        self.saved_milli = (self.saved_milli + self.deposit_milli).min(RESERVE * MILLI_PER_RETRY);
    }

    /// Takes a retry from the budget and returns whether there was one. The
    /// budget is never emptied, so that retries stay strictly below their share.
    pub fn try_retry(&mut self) -> bool {
        if self.saved_milli <= MILLI_PER_RETRY {
            return false;
        }
        self.saved_milli -= MILLI_PER_RETRY;
        true
    }
}

fn to_f64(milli: u64) -> f64 {
    u32::try_from(milli).map_or(f64::MAX, f64::from)
}
