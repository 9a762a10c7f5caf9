//! Bound on retries, so that failures don't multiply the load.

#[cfg(test)]
mod tests;

const MILLI: u64 = 1000;
/// Retries that can be saved up in calm times, and those that a new budget
/// has. All calls that a failing target had in flight fail at once, so that a
/// budget without a reserve would refuse most of them.
pub const RESERVE: u64 = 32;

/// A token bucket to which each call adds a share of a retry.
#[derive(Debug, Clone)]
pub struct Budget {
    deposit_milli: u64,
    saved_milli: u64,
}

impl Budget {
    /// Makes a budget with its reserve. `ratio` is the largest share of retries in calls, from 0 to 1.
    #[must_use]
    pub fn new(ratio: f64) -> Self {
        let milli = (0..=MILLI).rev().find(|milli| f64_of(*milli) <= ratio * f64_of(MILLI));
        Self { deposit_milli: milli.unwrap_or_default(), saved_milli: RESERVE * MILLI }
    }

    /// Counts the first attempt of a call.
    pub fn call(&mut self) {
        self.saved_milli = (self.saved_milli + self.deposit_milli).min(RESERVE * MILLI);
    }

    /// Takes a retry and returns whether there was one. Something is always
    /// left over, so that retries stay strictly below their share.
    pub fn try_retry(&mut self) -> bool {
        if self.saved_milli <= MILLI {
            return false;
        }
        self.saved_milli -= MILLI;
        true
    }
}

fn f64_of(milli: u64) -> f64 {
    u32::try_from(milli).map_or(f64::MAX, f64::from)
}
