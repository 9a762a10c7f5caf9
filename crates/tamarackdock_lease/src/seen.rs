use tamarackdock_platform::table;
use tamarackdock_types::clock::Instant;

use crate::{Row, RowError, Terms};

/// The row as a candidate last saw it.
#[derive(Debug, Clone)]
pub(crate) struct Seen {
    pub(crate) revision: u64,
    /// `None` if the row does not exist yet.
    pub(crate) row: Option<Row>,
    /// When the response arrived that first showed this revision. The request's
    /// time would be too early: the row can be written while the read is under way.
    since: Instant,
    /// Until when the holder has time to renew after reads that failed.
    kept_until: Instant,
}

impl Seen {
    pub(crate) fn new(row: Option<&table::Row>, now: Instant) -> Result<Self, RowError> {
        let revision = row.map_or(0, |row| row.revision);
        let row = row.map(|row| Row::decode(&row.value)).transpose()?;
        Ok(Self { revision, row, since: now, kept_until: now })
    }

    /// Leaves the row to its holder until a time.
    pub(crate) fn keep_until(&mut self, until: Instant) {
        self.kept_until = self.kept_until.max(until);
    }

    /// Returns the time from which the row may be taken.
    pub(crate) fn free_at(&self, terms: &Terms) -> Instant {
        match &self.row {
            Some(row) if !row.released => {
                (self.since + row.duration + terms.margin).max(self.kept_until)
            }
            Some(_) | None => self.since,
        }
    }
}
