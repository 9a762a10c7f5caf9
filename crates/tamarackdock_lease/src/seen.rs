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
}

impl Seen {
    pub(crate) fn new(row: Option<&table::Row>, now: Instant) -> Result<Self, RowError> {
        let revision = row.map_or(0, |row| row.revision);
        let row = row.map(|row| Row::decode(&row.value)).transpose()?;
        Ok(Self { revision, row, since: now })
    }

    /// Returns the time from which the row may be taken.
    pub(crate) fn free_at(&self, terms: &Terms) -> Instant {
        match &self.row {
            Some(row) if !row.released => self.since + row.duration + terms.margin,
            Some(_) | None => self.since,
        }
    }
}
