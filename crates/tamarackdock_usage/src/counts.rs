use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tamarackdock_types::AccountName;

use crate::Figures;

/// Usage by the window in which the calls ended, and by client account.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Counts(BTreeMap<u64, BTreeMap<AccountName, Figures>>);

impl Counts {
    /// Adds usage of one client account.
    pub fn add(&mut self, window: u64, account: AccountName, figures: Figures) {
        *self.0.entry(window).or_default().entry(account).or_default() += figures;
    }

    /// Adds all usage of other counts.
    pub fn add_all(&mut self, other: &Self) {
        for (window, account, figures) in other.iter() {
            self.add(window, account.clone(), figures);
        }
    }

    /// Returns all usage, ordered by window and client account.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &AccountName, Figures)> {
        let flat = |(window, accounts): (&u64, _)| (*window, accounts);
        self.0.iter().map(flat).flat_map(|(window, accounts): (u64, &BTreeMap<_, _>)| {
            accounts.iter().map(move |(account, figures)| (window, account, *figures))
        })
    }

    /// Returns whether nothing was counted.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
