//! Handling of the results of reads and commits.

use std::collections::BTreeMap;

use tamarackdock_platform::{
    Error,
    table::{Condition, Row},
};
use tamarackdock_types::{clock::Instant, fence::Epoch};

use super::Lease;
use crate::{
    Action, HeldLease,
    observed_row::ObservedRow,
    pending::{Change, Pending},
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
            // The row is read after a conflict too, since an earlier attempt of the same write may
            // have caused it.
            (Err(Error::Conflict { .. }), Some(pending)) => {
                self.pending = Some(Pending { needs_read: true, ..pending });
            }
            (Err(_), Some(pending)) => {
                self.pending = Some(Pending { needs_read: true, ..pending });
                self.next = now + self.timing.poll;
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
        self.next = now + self.timing.poll;
        let Ok(rows) = result else {
            self.last_read_failed = true;
            return;
        };
        let row = rows.get(&self.lease_key());
        let revision = row.map_or(0, |row| row.revision);
        match self.pending.take() {
            Some(pending) if row.is_some_and(|row| row.operation == pending.commit.operation) => {
                self.apply(now, revision, &pending, actions);
            }
            Some(pending) if revision == pending.expected_revision() => {
                self.pending = Some(Pending { needs_read: false, ..pending });
                self.next = now;
            }
            Some(_) => {
                self.lose(actions);
                self.observe(now, &rows);
            }
            None => self.observe(now, &rows),
        }
    }

    fn observe(&mut self, now: Instant, rows: &BTreeMap<String, Row>) {
        let row = rows.get(&self.lease_key());
        let revision = row.map_or(0, |row| row.revision);
        if self.observed.as_ref().is_none_or(|observed| observed.revision != revision) {
            self.observed = ObservedRow::new(row, now).ok();
        }
        let of_earlier_run = self.is_held_by_earlier_run(rows);
        if let Some(observed) = &mut self.observed {
            observed.of_earlier_run = of_earlier_run;
            if self.last_read_failed {
                observed.reserve_until(now + self.timing.recovery_grace());
            }
            self.next = self.next.min(observed.free_at(&self.timing)).max(now);
        }
        self.last_read_failed = false;
    }

    fn apply(&mut self, now: Instant, revision: u64, write: &Pending, actions: &mut Vec<Action>) {
        self.next = now;
        match (write.change, &mut self.held) {
            (Change::Acquire { epoch, quiet }, _) => {
                let quiet_until = match quiet {
                    quiet if quiet.is_zero() => now,
                    quiet => now + quiet + self.timing.margin,
                };
                self.hold(revision, epoch, write.first_sent, quiet_until);
                actions.push(Action::Acquired(epoch));
            }
            (Change::Renew, Some(held)) => {
                held.revision = revision;
                held.valid_since = write.first_sent;
            }
            (Change::Release | Change::Renew, _) => self.lose(actions),
        }
    }

    fn hold(&mut self, revision: u64, epoch: Epoch, valid_since: Instant, quiet_until: Instant) {
        self.held = Some(HeldLease {
            timing: self.timing,
            epoch,
            revision,
            fence: Condition { key: self.fence_key(), revision },
            valid_since,
            quiet_until,
            last_arrival: valid_since,
        });
    }

    fn lose(&mut self, actions: &mut Vec<Action>) {
        actions.extend(self.held.take().map(|held| Action::Lost(held.epoch)));
    }
}
