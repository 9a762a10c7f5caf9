use std::collections::BTreeMap;

use tamarackdock_types::AccountName;

/// Settings of weighted fair admission.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// The node's share of the targets' capacity, in concurrent tokens.
    pub capacity: u64,
    /// Weights of client accounts. Accounts that are not listed have weight 1.
    pub weights: BTreeMap<AccountName, u32>,
    /// Smallest share of batch calls in the started tokens while both levels
    /// wait, in percent below 100.
    pub batch_percent: u64,
    /// Part of the capacity that is reserved for app calls, in percent. 0
    /// reserves nothing.
    pub buffer_percent: u64,
    /// Largest number of waiting calls of one account at one level.
    pub max_queued: usize,
    /// Drain rate that is assumed before one is measured, in tokens/s.
    pub expected_rate: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            capacity: 65_536,
            weights: BTreeMap::new(),
            batch_percent: 20,
            buffer_percent: 0,
            max_queued: 256,
            expected_rate: 10_000.0,
        }
    }
}
