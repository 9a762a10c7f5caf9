use std::time::Instant;

/// Requests in each second since the platform started.
#[derive(Debug)]
pub struct Rates {
    started: Instant,
    seconds: Vec<(u64, u64)>,
}

impl Rates {
    pub(super) fn new() -> Self {
        Self { started: Instant::now(), seconds: Vec::new() }
    }

    pub(super) fn count(&mut self, is_write: bool) {
        let second = usize::try_from(self.started.elapsed().as_secs()).unwrap_or(usize::MAX);
        self.seconds.resize(self.seconds.len().max(second + 1), (0, 0));
        let (reads, writes) = &mut self.seconds[second];
        *(if is_write { writes } else { reads }) += 1;
    }

    /// Returns `(reads, writes)` of each second. Seconds after the last request are left out.
    #[must_use]
    pub fn seconds(&self) -> &[(u64, u64)] {
        &self.seconds
    }

    /// Returns `(reads, writes)` in total.
    #[must_use]
    pub fn total(&self) -> (u64, u64) {
        self.seconds.iter().fold((0, 0), |sum, second| (sum.0 + second.0, sum.1 + second.1))
    }
}
