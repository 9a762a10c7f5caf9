use tamarackdock_platform::table;
use tamarackdock_types::clock::Instant;

use crate::{Row, RowError, Timing};

/// The lease row as a candidate last read it.
#[derive(Debug, Clone)]
pub(crate) struct ObservedRow {
    pub(crate) revision: u64,
    /// `None` if the row does not exist yet.
    pub(crate) row: Option<Row>,
    /// Time at which the response arrived that first showed this revision. The request's
    /// time would be too early, since the row can be written while the read is in progress.
    since: Instant,
    /// Time until which this candidate does not take the row, so that the holder can renew
    /// it after an outage in which this candidate's reads failed.
    reserved_until: Instant,
    /// Whether an earlier run of this process holds the lease, which no longer acts.
    pub(crate) of_earlier_run: bool,
}

impl ObservedRow {
    pub(crate) fn new(row: Option<&table::Row>, now: Instant) -> Result<Self, RowError> {
        let revision = row.map_or(0, |row| row.revision);
        let row = row.map(|row| Row::decode(&row.value)).transpose()?;
        Ok(Self { revision, row, since: now, reserved_until: now, of_earlier_run: false })
    }

    /// Leaves the row to its holder until the given time.
    pub(crate) fn reserve_until(&mut self, until: Instant) {
        self.reserved_until = self.reserved_until.max(until);
    }

    /// Returns the time from which the row may be taken.
    pub(crate) fn free_at(&self, timing: &Timing) -> Instant {
        match &self.row {
            Some(row) if !row.released && !self.of_earlier_run => {
                (self.since + row.duration + timing.margin).max(self.reserved_until)
            }
            Some(_) | None => self.since,
        }
    }
}
