use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Faults of the platform that can be switched while it runs.
#[derive(Debug)]
pub struct Faults {
    /// Whether the table service and the object store give no answer, while the
    /// platform's other interfaces do.
    pub store_down: bool,
    /// Time by which each response is delayed.
    pub delay: Duration,
    /// Number of following writes that take effect and lose their response.
    pub lose_next: u32,
    /// Number of following table commits that take effect and lose their response.
    pub lose_next_commits: u32,
    /// Share of all writes that take effect and lose their response, from 0 to 1.
    pub lose_share: f64,
    /// Whether the table service fails without any effect.
    pub table_down: bool,
    /// Whether the report interface fails without any effect.
    pub reports_down: bool,
    /// Every write with this number loses its response after it took effect; 0 for none.
    pub lose_every: u64,
    /// Responses that were lost so far.
    pub lost: u64,
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
            lost: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns whether an area of the interface fails.
    pub(super) fn is_down(&self, area: &str) -> bool {
        match area {
            "table" => self.table_down,
            "reports" => self.reports_down,
            _ => false,
        }
    }

    /// Decides whether the response of a write is lost.
    pub(super) fn is_lost(&mut self, is_commit: bool) -> bool {
        let by_kind = is_commit && self.lose_next_commits > 0;
        self.lose_next_commits -= u32::from(by_kind);
        let by_count = self.lose_next > 0;
        self.lose_next = self.lose_next.saturating_sub(1);
        let by_share = self.random.random::<f64>() < self.lose_share;
        self.writes += 1;
        let by_turn = self.lose_every > 0 && self.writes.is_multiple_of(self.lose_every);
        let is_lost = by_kind || by_count || by_share || by_turn;
        self.lost += u64::from(is_lost);
        is_lost
    }
}
