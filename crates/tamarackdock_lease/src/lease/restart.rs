//! Recognition of a lease that an earlier run of this process holds.

use std::collections::BTreeMap;

use tamarackdock_platform::table::Row;

use super::Lease;
use crate::{HolderRow, Row as LeaseRow};

impl Lease {
    /// Returns the keys of the rows that [`Self::is_held_by_earlier_run`] needs.
    #[must_use]
    pub fn keys(&self) -> Vec<String> {
        let holder = self.address.map(|_| self.holder_key());
        [self.lease_key()].into_iter().chain(holder).collect()
    }

    /// Returns whether rows show that an earlier run of this process holds the lease: they name
    /// this host and its address, under one epoch, and another run wrote them. That run has
    /// terminated, since the address can be bound only once.
    ///
    /// The two rows need not be read at the same moment, since the row of the holder changes only
    /// with the epoch.
    #[must_use]
    pub fn is_held_by_earlier_run(&self, rows: &BTreeMap<String, Row>) -> bool {
        let lease = rows.get(&self.lease_key()).and_then(|row| LeaseRow::decode(&row.value).ok());
        let holder = rows.get(&self.holder_key()).and_then(|row| HolderRow::decode(&row.value));
        let (Some(lease), Some(holder), Some(address)) = (lease, holder, self.address) else {
            return false;
        };
        !lease.released
            && lease.holder == self.holder
            && !self.operation_ids.contains(&lease.operation)
            && holder == HolderRow { epoch: lease.epoch, address }
    }

    /// Returns whether the lease can still be taken from an earlier run of this process: this run
    /// does not hold it, and the last row that it read, if any, is that of an earlier run.
    #[must_use]
    pub fn can_resume(&self) -> bool {
        let of_earlier_run = self.observed.as_ref().is_none_or(|row| row.of_earlier_run);
        self.address.is_some() && self.held.is_none() && of_earlier_run
    }
}
