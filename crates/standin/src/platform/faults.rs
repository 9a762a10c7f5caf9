use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Faults of the platform, which can be changed while it runs.
#[derive(Debug)]
pub struct Faults {
    /// Whether requests to the table service and the object store have no effect and lose
    /// their responses, while the platform's other interfaces work.
    pub store_down: bool,
    /// Time by which each response is delayed.
    pub delay: Duration,
    /// Number of next writes that take effect but lose their response.
    pub lose_next: u32,
    /// Number of next table commits that take effect but lose their response.
    pub lose_next_commits: u32,
    /// Share of all writes that take effect but lose their response, from 0 to 1.
    pub lose_share: f64,
    /// Whether the table service answers each request with status 503, without any effect.
    pub table_down: bool,
    /// Whether the report interface answers each request with status 503, without any effect.
    pub reports_down: bool,
    /// Interval, in writes, at which a write takes effect but loses its response; 0 for
    /// never.
    pub lose_every: u64,
    /// Number of responses of writes lost by the settings above, except `store_down`.
    pub lost_responses: u64,
    writes: u64,
    random: ChaCha8Rng,
}

impl Faults {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            store_down: false,
            delay: Duration::ZERO,
            lose_next: 0,
            lose_next_commits: 0,
            lose_share: 0.0,
            table_down: false,
            reports_down: false,
            lose_every: 0,
            writes: 0,
            lost_responses: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns whether an area of the interface, the first part of a path, fails.
    pub(super) fn is_down(&self, area: &str) -> bool {
        match area {
            "table" => self.table_down,
            "reports" => self.reports_down,
            _ => false,
        }
    }

    /// Counts a write and decides whether its response is lost.
    pub(super) fn loses_response(&mut self, is_commit: bool) -> bool {
        let by_commit_count = is_commit && self.lose_next_commits > 0;
        self.lose_next_commits -= u32::from(by_commit_count);
        let by_count = self.lose_next > 0;
        self.lose_next = self.lose_next.saturating_sub(1);
        let by_share = self.random.random::<f64>() < self.lose_share;
        self.writes += 1;
        let by_interval = self.lose_every > 0 && self.writes.is_multiple_of(self.lose_every);
        let is_lost = by_commit_count || by_count || by_share || by_interval;
        self.lost_responses += u64::from(is_lost);
        is_lost
    }
}
