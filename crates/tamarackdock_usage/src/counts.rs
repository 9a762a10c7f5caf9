use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tamarackdock_types::AccountName;

use crate::UsageTotals;

/// Usage by the window in which the calls ended, and by client account.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Counts(BTreeMap<u64, BTreeMap<AccountName, UsageTotals>>);

impl Counts {
    /// Adds usage of one client account.
    pub fn add(&mut self, window: u64, account: AccountName, totals: UsageTotals) {
        *self.0.entry(window).or_default().entry(account).or_default() += totals;
    }

    /// Adds all usage of other counts.
    pub fn add_all(&mut self, other: &Self) {
        for (window, account, totals) in other.iter() {
            self.add(window, account.clone(), totals);
        }
    }

    /// Returns all usage, ordered by window and client account.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &AccountName, UsageTotals)> {
        let flat = |(window, accounts): (&u64, _)| (*window, accounts);
        self.0.iter().map(flat).flat_map(|(window, accounts): (u64, &BTreeMap<_, _>)| {
            accounts.iter().map(move |(account, totals)| (window, account, *totals))
        })
    }

    /// Returns whether nothing was counted.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
