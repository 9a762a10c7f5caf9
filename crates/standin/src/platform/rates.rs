use std::{collections::BTreeMap, time::Instant};

/// Numbers of reads and writes, by second since the platform started and by area of
/// the interface.
#[derive(Debug)]
pub struct Rates {
    started: Instant,
    seconds: Vec<(u64, u64)>,
    areas: BTreeMap<String, (u64, u64)>,
}

impl Rates {
    pub(super) fn new() -> Self {
        Self { started: Instant::now(), seconds: Vec::new(), areas: BTreeMap::new() }
    }

    pub(super) fn count(&mut self, path: &str, is_write: bool) {
        let second = usize::try_from(self.started.elapsed().as_secs()).unwrap_or(usize::MAX);
        self.seconds.resize(self.seconds.len().max(second + 1), (0, 0));
        let (reads, writes) = &mut self.seconds[second];
        *(if is_write { writes } else { reads }) += 1;
        let area = path.trim_start_matches('/').split('/').next().unwrap_or_default();
        let (reads, writes) = self.areas.entry(area.into()).or_default();
        *(if is_write { writes } else { reads }) += 1;
    }

    /// Returns `(reads, writes)` of each second up to that of the last request.
    #[must_use]
    pub fn seconds(&self) -> &[(u64, u64)] {
        &self.seconds
    }

    /// Returns `(reads, writes)` by area, the first part of the path, such as `table`.
    #[must_use]
    pub fn areas(&self) -> &BTreeMap<String, (u64, u64)> {
        &self.areas
    }

    /// Returns `(reads, writes)` in total.
    #[must_use]
    pub fn total(&self) -> (u64, u64) {
        self.seconds.iter().fold((0, 0), |sum, second| (sum.0 + second.0, sum.1 + second.1))
    }
}
