//! Figures from the usage reports that the platform received.

use bytes::Bytes;
use serde_json::Value;

use super::World;

impl World {
    /// Returns the number of tokens in the accepted reports of all windows and client
    /// accounts, with corrections.
    #[must_use]
    pub fn reported_tokens(&self) -> u64 {
        let state = self.platform.state();
        let accepted = state.reports.values().filter_map(|received| received.first());
        accepted.map(tokens).sum()
    }

    /// Returns the windows for which reports with different contents arrived.
    #[must_use]
    pub fn conflicting_windows(&self) -> Vec<u64> {
        let state = self.platform.state();
        let differs = |received: &Vec<Bytes>| received.iter().any(|report| report != &received[0]);
        let conflicting = state.reports.iter().filter(|(_, received)| differs(received));
        conflicting.map(|(window, _)| *window).collect()
    }
}

fn tokens(report: &Bytes) -> u64 {
    let report: Value = serde_json::from_slice(report).unwrap_or_default();
    let lines = report["lines"].as_array().into_iter().flatten();
    lines.filter_map(|line| line["tokens"].as_u64()).sum()
}
