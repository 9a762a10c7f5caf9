//! Results of reads and commits.

use std::collections::BTreeMap;

use tamarackdock_platform::{
    Error,
    table::{Condition, Row},
};
use tamarackdock_types::{clock::Instant, fence::Epoch};

use super::Lease;
use crate::{
    Action, Held,
    pending::{Change, Pending},
    seen::Seen,
};

impl Lease {
    pub(super) fn on_committed(
        &mut self,
        now: Instant,
        result: &Result<u64, Error>,
        actions: &mut Vec<Action>,
    ) {
        self.in_flight = false;
        match (result, self.pending.take()) {
            (Ok(revision), Some(pending)) => self.apply(now, *revision, &pending, actions),
            // A conflict is read back too: an earlier try of the same write may be its cause.
            (Err(Error::Conflict { .. }), Some(pending)) => {
                self.pending = Some(Pending { unsettled: true, ..pending });
            }
            (Err(_), Some(pending)) => {
                self.pending = Some(Pending { unsettled: true, ..pending });
                self.next = now + self.terms.poll;
            }
            (_, None) => {}
        }
    }

    pub(super) fn on_read(
        &mut self,
        now: Instant,
        result: Result<BTreeMap<String, Row>, Error>,
        actions: &mut Vec<Action>,
    ) {
        self.in_flight = false;
        self.next = now + self.terms.poll;
        let Ok(rows) = result else {
            self.blind = true;
            return;
        };
        let row = rows.get(&self.lease_key());
        let revision = row.map_or(0, |row| row.revision);
        match self.pending.take() {
            Some(pending) if row.is_some_and(|row| row.operation == pending.commit.operation) => {
                self.apply(now, revision, &pending, actions);
            }
            Some(pending) if revision == pending.expected() => {
                self.pending = Some(Pending { unsettled: false, ..pending });
                self.next = now;
            }
            Some(_) => {
                self.lose(actions);
                self.watch(now, row);
            }
            None => self.watch(now, row),
        }
    }

    fn watch(&mut self, now: Instant, row: Option<&Row>) {
        let revision = row.map_or(0, |row| row.revision);
        if self.seen.as_ref().is_none_or(|seen| seen.revision != revision) {
            self.seen = Seen::new(row, now).ok();
        }
        if let Some(seen) = &mut self.seen {
            if self.blind {
                seen.keep_until(now + self.terms.return_grace());
            }
            self.next = self.next.min(seen.free_at(&self.terms)).max(now);
        }
        self.blind = false;
    }

    fn apply(&mut self, now: Instant, revision: u64, write: &Pending, actions: &mut Vec<Action>) {
        self.next = now;
        match (write.change, &mut self.held) {
            (Change::Acquire { epoch, quiet }, _) => {
                let quiet_until = match quiet {
                    quiet if quiet.is_zero() => now,
                    quiet => now + quiet + self.terms.margin,
                };
                self.hold(revision, epoch, write.sent, quiet_until);
                actions.push(Action::Acquired(epoch));
            }
            (Change::Renew, Some(held)) => {
                held.revision = revision;
                held.since = write.sent;
            }
            (Change::Release | Change::Renew, _) => self.lose(actions),
        }
    }

    fn hold(&mut self, revision: u64, epoch: Epoch, since: Instant, quiet_until: Instant) {
        self.held = Some(Held {
            terms: self.terms,
            epoch,
            revision,
            fence: Condition { key: self.fence_key(), revision },
            since,
            quiet_until,
            last_arrival: since,
        });
    }

    fn lose(&mut self, actions: &mut Vec<Action>) {
        actions.extend(self.held.take().map(|held| Action::Lost(held.epoch)));
    }
}
