//! Writes of the lease row.

use std::time::Duration;

use tamarackdock_platform::table::{Commit, Condition, Write};
use tamarackdock_types::{clock::Instant, fence::Epoch};

use super::Lease;
use crate::{
    Action, Row,
    pending::{Change, Pending},
    seen::Seen,
};

impl Lease {
    pub(super) fn acquire(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let free = |seen: &mut Seen| !self.blind && now >= seen.free_at(&self.terms);
        let Some(seen) = self.seen.take_if(free) else {
            return self.read(actions);
        };
        let epoch = seen.row.as_ref().map_or(Epoch::default(), |row| row.epoch).next();
        let quiet = seen.row.as_ref().map_or(Duration::ZERO, |row| row.quiet);
        let row = self.row(epoch, quiet.max(self.terms.quiet()));
        let mut commit = self.commit(&row, seen.revision);
        commit.writes.push(Write { key: self.fence_key(), value: Some(epoch.to_string()) });
        self.send(now, Change::Acquire { epoch, quiet }, commit, actions);
    }

    pub(super) fn renew(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(held) = &self.held else { return };
        let due = held.since + self.terms.renewal();
        if now < due {
            self.next = due;
            return actions.push(Action::Wake(due));
        }
        let quiet = held.quiet_until.since(now).max(self.terms.quiet());
        let (epoch, revision) = (held.epoch, held.revision);
        let row = self.row(epoch, quiet);
        let commit = self.commit(&row, revision);
        self.send(now, Change::Renew, commit, actions);
    }

    pub(super) fn release(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(held) = &self.held else { return };
        let (epoch, revision) = (held.epoch, held.revision);
        let row = Row { released: true, ..self.row(epoch, held.remaining_quiet(now)) };
        let commit = self.commit(&row, revision);
        self.send(now, Change::Release, commit, actions);
    }

    /// Sends the pending write again, or reads the row first.
    pub(super) fn settle(&mut self, now: Instant, actions: &mut Vec<Action>) {
        match &self.pending {
            Some(pending) if !pending.unsettled => {
                let commit = pending.commit.clone();
                self.next = now;
                actions.push(Action::Commit { request: self.start_request(), commit });
            }
            Some(_) | None => self.read(actions),
        }
    }

    fn send(&mut self, now: Instant, change: Change, commit: Commit, actions: &mut Vec<Action>) {
        self.pending = Some(Pending { change, commit, sent: now, unsettled: false });
        self.settle(now, actions);
    }

    fn row(&self, epoch: Epoch, quiet: Duration) -> Row {
        Row {
            holder: self.holder.clone(),
            epoch,
            duration: self.terms.duration,
            operation: String::new(),
            quiet,
            released: false,
        }
    }

    fn commit(&mut self, row: &Row, revision: u64) -> Commit {
        let operation = self.operations.next_id();
        let row = Row { operation: operation.clone(), ..row.clone() };
        Commit {
            operation,
            conditions: vec![Condition { key: self.lease_key(), revision }],
            writes: vec![Write { key: self.lease_key(), value: Some(row.encode()) }],
        }
    }
}
