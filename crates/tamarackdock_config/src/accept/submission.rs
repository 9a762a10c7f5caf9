use std::time::Duration;

use tamarackdock_types::{HostName, clock::Instant};

use super::{
    Accepted, Action, Condition, Event, HEAD_KEY, Head, Rejection, Row, Rows, Write, object_name,
    version_key,
};
use crate::{
    Deployment,
    version::{Delta, Snapshot},
};

/// Time between two attempts if the store does not respond.
pub const RETRY_AFTER: Duration = Duration::from_millis(200);

/// Longest time after sending at which a commit can still take effect. The connection is
/// closed long before.
pub const COMMIT_LIFETIME: Duration = Duration::from_secs(10);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Reading,
    Storing { head_revision: u64 },
    Committing,
    Waiting,
    Done,
}

/// The state machine of one submission, from its arrival to its result.
///
/// The row `config/v/{base + 1}` decides which submission is accepted: it is written once,
/// together with the head, and names the accepted operation. After a lost response, the
/// result is found by reading that row, and a repeated submission finds its own operation
/// there.
#[derive(Debug)]
pub struct Submission {
    base: Snapshot,
    next: Snapshot,
    delta: Delta,
    deadline: Instant,
    state: State,
    /// Whether the full copy is in the object store.
    stored: bool,
    /// Time at which the last commit was sent.
    sent: Option<Instant>,
    /// Whether the missing row of the version has been read again.
    reread: bool,
}

impl Submission {
    /// Creates a submission of `deployment` on the version `base`. It ends with
    /// [`Rejection::Unresolved`] if its result is still unknown at `deadline`.
    #[must_use]
    pub fn new(
        operation: &str,
        origin: HostName,
        base: Snapshot,
        deployment: Deployment,
        deadline: Instant,
    ) -> Self {
        let next = Snapshot::new(base.number().next(), deployment);
        let delta = Delta::between(&base, &next, operation, origin);
        let state = State::Reading;
        Self { base, next, delta, deadline, state, stored: false, sent: None, reread: false }
    }

    /// Returns the first action.
    #[must_use]
    pub fn start(&self) -> Action {
        Action::Read(vec![HEAD_KEY.into(), version_key(self.next.number())])
    }

    /// Returns the submitted version, to be activated once it is accepted.
    #[must_use]
    pub const fn snapshot(&self) -> &Snapshot {
        &self.next
    }

    /// Returns the submitted change.
    #[must_use]
    pub const fn delta(&self) -> &Delta {
        &self.delta
    }

    /// Returns the time until which a commit with an unknown result may still take effect, or
    /// `None` if there is no such commit. Until then the node must not report that no key can
    /// be withdrawn, see [`crate::reachability::Reachability::set_unsettled`].
    #[must_use]
    pub fn unsettled_until(&self) -> Option<Instant> {
        let sent = self.sent.filter(|_| self.state != State::Done)?;
        Some(sent + COMMIT_LIFETIME)
    }

    /// Handles the result of the last action and returns the next action.
    pub fn handle(&mut self, now: Instant, event: Event) -> Action {
        match (self.state, event) {
            (State::Reading, Event::Read(rows)) => self.on_rows(now, &rows),
            (State::Storing { head_revision }, Event::Stored) => {
                self.stored = true;
                self.commit(now, head_revision)
            }
            (State::Committing, Event::Committed) => self.accepted(),
            (State::Committing, Event::Refused) | (State::Waiting, Event::Waited) => {
                self.read_again()
            }
            _ if now >= self.deadline => self.unresolved(),
            _ => self.wait(),
        }
    }

    fn on_rows(&mut self, now: Instant, rows: &Rows) -> Action {
        let key = version_key(self.next.number());
        if let Some(row) = rows.get(&key) {
            return self.finish_from_row(&key, row);
        }
        let row = rows.get(HEAD_KEY);
        let revision = row.map_or(0, |row| row.revision);
        let Ok(head) = row.map_or(Ok(Head::empty()), |row| serde_json::from_str(&row.value)) else {
            return self.reject(Rejection::UnreadableRow { key: HEAD_KEY.into() });
        };
        self.compare(now, &head, revision)
    }

    fn compare(&mut self, now: Instant, head: &Head, revision: u64) -> Action {
        let base = self.base.number();
        match head.number {
            number if number < base => self.reject(Rejection::UnknownBase { base, head: number }),
            // One row may have been read before a commit and the other after it, so the
            // version's row is read once more before it counts as no longer kept.
            number if number > base && !self.reread => {
                self.reread = true;
                self.read_again()
            }
            number if number > base => self.reject(Rejection::Conflict { base, winner: None }),
            _ if head.checksum != self.base.checksum() => {
                self.reject(Rejection::DifferentBase { base })
            }
            _ if self.stored => self.commit(now, revision),
            _ => {
                self.state = State::Storing { head_revision: revision };
                Action::Put { name: object_name(self.next.checksum()), bytes: self.next.bytes() }
            }
        }
    }

    fn finish_from_row(&mut self, key: &str, row: &Row) -> Action {
        let Ok(winner) = serde_json::from_str::<Delta>(&row.value) else {
            return self.reject(Rejection::UnreadableRow { key: key.into() });
        };
        match winner {
            winner if winner.operation != self.delta.operation => {
                let (base, winner) = (self.base.number(), Some(winner.operation));
                self.reject(Rejection::Conflict { base, winner })
            }
            winner if winner.checksum != self.delta.checksum => {
                self.reject(Rejection::OperationReused { operation: winner.operation })
            }
            _ => self.accepted(),
        }
    }

    fn commit(&mut self, now: Instant, head_revision: u64) -> Action {
        self.state = State::Committing;
        self.sent = Some(now);
        let Delta { number, checksum, operation, .. } = &self.delta;
        let operation = operation.clone();
        let row = Head { number: *number, checksum: *checksum, operation: operation.clone() };
        let key = version_key(*number);
        let conditions = vec![
            Condition { key: HEAD_KEY.into(), revision: head_revision },
            Condition { key: key.clone(), revision: 0 },
        ];
        let writes = vec![
            Write { key: HEAD_KEY.into(), value: encode(&row) },
            Write { key, value: encode(&self.delta) },
        ];
        Action::Commit { operation, conditions, writes }
    }

    fn read_again(&mut self) -> Action {
        self.state = State::Reading;
        self.start()
    }

    fn wait(&mut self) -> Action {
        self.state = State::Waiting;
        Action::Wait(RETRY_AFTER)
    }

    fn accepted(&mut self) -> Action {
        self.state = State::Done;
        let Delta { number, checksum, .. } = self.delta;
        Action::Done(Ok(Accepted { number, checksum }))
    }

    fn reject(&mut self, rejection: Rejection) -> Action {
        self.state = State::Done;
        Action::Done(Err(rejection))
    }

    fn unresolved(&mut self) -> Action {
        let operation = self.delta.operation.clone();
        // The commit may still take effect, so the state does not become `Done`.
        Action::Done(Err(Rejection::Unresolved { operation }))
    }
}

/// Serializes a row. This can't fail, since the types have no maps with keys other than
/// strings.
fn encode(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
