use std::{collections::BTreeMap, fmt::Write};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use tamarackdock_types::{AccountName, fence::Epoch};

use crate::{Counts, UsageTotals};

/// The usage of one client account in a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// Client account that made the calls.
    pub account: AccountName,
    /// Window that the line corrects, if the counts were flushed after it was closed.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub correction_of: Option<u64>,
    /// Calls and tokens.
    #[serde(flatten)]
    pub figures: UsageTotals,
}

/// The usage report of a window and shard. Its JSON text is sealed and sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Number of the closed window.
    pub window: u64,
    /// Number of the shard.
    pub shard: u32,
    /// Epoch under which the report was sealed. A later reporter sends it unchanged.
    pub epoch: Epoch,
    /// Lines, ordered by corrected window and client account.
    pub lines: Vec<Line>,
}

impl Report {
    /// Creates the report of a closed window.
    #[must_use]
    pub fn new(window: u64, shard: u32, epoch: Epoch, counts: &Counts) -> Self {
        let mut sums: BTreeMap<_, UsageTotals> = BTreeMap::new();
        for (counted, account, figures) in counts.iter() {
            let correction_of = (counted != window).then_some(counted);
            *sums.entry((correction_of, account.clone())).or_default() += figures;
        }
        let line = |((correction_of, account), figures)| Line { account, correction_of, figures };
        Self { window, shard, epoch, lines: sums.into_iter().map(line).collect() }
    }
}

/// Returns the SHA-256 of a report's text in hexadecimal.
pub(crate) fn digest(report: &str) -> String {
    let mut text = String::new();
    for byte in Sha256::digest(report) {
        write!(text, "{byte:02x}").expect("a string takes all text");
    }
    text
}
