//! Writes of the lease row.

use std::time::Duration;

use tamarackdock_platform::table::{Commit, Condition, Write};
use tamarackdock_types::{clock::Instant, fence::Epoch};

use super::Lease;
use crate::{
    Action, HolderRow, Row,
    observed_row::ObservedRow,
    pending::{Change, Pending},
};

impl Lease {
    pub(super) fn acquire(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let free = |observed: &mut ObservedRow| {
            !self.last_read_failed && now >= observed.free_at(&self.timing)
        };
        let Some(observed) = self.observed.take_if(free) else {
            return self.read(actions);
        };
        let epoch = observed.row.as_ref().map_or(Epoch::default(), |row| row.epoch).next();
        let quiet = observed.row.as_ref().map_or(Duration::ZERO, |row| row.quiet);
        let row = self.row(epoch, quiet.max(self.timing.quiet()));
        let mut commit = self.commit(&row, observed.revision);
        commit.writes.push(Write { key: self.fence_key(), value: Some(epoch.to_string()) });
        if let Some(address) = self.address {
            let value = Some(HolderRow { epoch, address }.encode());
            commit.writes.push(Write { key: self.holder_key(), value });
        }
        self.start_write(now, Change::Acquire { epoch, quiet }, commit, actions);
    }

    pub(super) fn renew(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(held) = &self.held else { return };
        let due = held.valid_since + self.timing.renewal();
        if now < due {
            self.next = due;
            return actions.push(Action::Wake(due));
        }
        let quiet = held.quiet_until.since(now).max(self.timing.quiet());
        let (epoch, revision) = (held.epoch, held.revision);
        let row = self.row(epoch, quiet);
        let commit = self.commit(&row, revision);
        self.start_write(now, Change::Renew, commit, actions);
    }

    pub(super) fn release(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(held) = &self.held else { return };
        let (epoch, revision) = (held.epoch, held.revision);
        let row = Row { released: true, ..self.row(epoch, held.remaining_quiet(now)) };
        let commit = self.commit(&row, revision);
        self.start_write(now, Change::Release, commit, actions);
    }

    /// Sends the pending write, or reads the row first if an earlier attempt may have taken
    /// effect.
    pub(super) fn send_pending(&mut self, now: Instant, actions: &mut Vec<Action>) {
        match &self.pending {
            Some(pending) if !pending.needs_read => {
                let commit = pending.commit.clone();
                self.next = now;
                actions.push(Action::Commit { request: self.start_request(), commit });
            }
            Some(_) | None => self.read(actions),
        }
    }

    fn start_write(
        &mut self,
        now: Instant,
        change: Change,
        commit: Commit,
        actions: &mut Vec<Action>,
    ) {
        self.pending = Some(Pending { change, commit, first_sent: now, needs_read: false });
        self.send_pending(now, actions);
    }

    fn row(&self, epoch: Epoch, quiet: Duration) -> Row {
        Row {
            holder: self.holder.clone(),
            epoch,
            duration: self.timing.duration,
            operation: String::new(),
            quiet,
            released: false,
        }
    }

    fn commit(&mut self, row: &Row, revision: u64) -> Commit {
        let operation = self.operation_ids.next_id();
        let row = Row { operation: operation.clone(), ..row.clone() };
        Commit {
            operation,
            conditions: vec![Condition { key: self.lease_key(), revision }],
            writes: vec![Write { key: self.lease_key(), value: Some(row.encode()) }],
        }
    }
}
