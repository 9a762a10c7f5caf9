//! Commits and reports of the reporter.

use tamarackdock_platform::table::{Commit, Condition, Row, Write};

use super::{Awaited, Reporter};
use crate::{
    Action, Counts, NodeRow, Report, State, WindowRow,
    keys::{head_key, window_key},
    report,
    rows::{decode, encode},
};

impl Reporter {
    /// Closes the window, so that the nodes' rows no longer change.
    pub(super) fn close(&mut self) -> Action {
        let write = self.window_write(State::Closed);
        self.commit(vec![write], Vec::new())
    }

    /// Seals the report. The same commit deletes the nodes' rows, which the report sums up.
    ///
    /// Returns `None` if a row can't be decoded, since the report would lack its counts.
    pub(super) fn seal(&mut self, rows: &[Row]) -> Option<Action> {
        let mut sum = Counts::default();
        for row in rows {
            sum.add_all(&decode::<NodeRow>(&row.value)?.counts);
        }
        let report = encode(&Report::new(self.window, self.shard, self.epoch, &sum));
        let digest = report::digest(&report);
        let deletions = rows.iter().map(|row| Write { key: row.key.clone(), value: None });
        let mut writes: Vec<_> = deletions.collect();
        writes.push(self.window_write(State::Sealed { report, digest }));
        Some(self.commit(writes, Vec::new()))
    }

    pub(super) fn report(&mut self, report: String, digest: String) -> Action {
        Action::Report {
            request: self.start_request(Awaited::Report(digest)),
            report: self.window * u64::from(self.shards) + u64::from(self.shard),
            bytes: report.into(),
        }
    }

    /// Marks the window as sent and advances the head to the next one.
    pub(super) fn mark_sent(&mut self, digest: String) -> Action {
        let key = head_key(self.shard);
        let condition = Condition { key: key.clone(), revision: self.head_revision };
        let head = Write { key, value: Some(encode(&(self.window + 1))) };
        let write = self.window_write(State::Sent { digest });
        self.commit(vec![write, head], vec![condition])
    }

    fn window_write(&self, state: State) -> Write {
        let value = Some(encode(&WindowRow { state }));
        Write { key: window_key(self.window, self.shard), value }
    }

    fn commit(&mut self, writes: Vec<Write>, mut conditions: Vec<Condition>) -> Action {
        let key = window_key(self.window, self.shard);
        conditions.push(self.fence.clone());
        conditions.push(Condition { key, revision: self.window_revision });
        let request = self.start_request(Awaited::Commit);
        let operation = format!("usage-{}-{}-{request}", self.shard, self.epoch);
        Action::Commit { request, commit: Commit { operation, conditions, writes } }
    }
}
