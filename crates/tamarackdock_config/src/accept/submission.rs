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

/// Time between two attempts when the store does not respond.
pub const RETRY_AFTER: Duration = Duration::from_millis(200);

/// Longest time after which a commit can still take effect. The connection is
/// closed long before.
pub const COMMIT_LIFETIME: Duration = Duration::from_secs(10);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Reading,
    Storing { head: u64 },
    Committing,
    Waiting,
    Done,
}

/// One submission from its arrival to its result.
///
/// The row `config/v/{base + 1}` decides: it is written once, together with the
/// head, and names the operation that won. A lost response is settled by reading
/// that row, and a repeated submission finds its own operation there.
#[derive(Debug)]
pub struct Submission {
    base: Snapshot,
    next: Snapshot,
    delta: Delta,
    deadline: Instant,
    state: State,
    stored: bool,
    sent: Option<Instant>,
    pruned: bool,
}

impl Submission {
    /// Makes a submission of `deployment` on the version `base`. It ends as
    /// unresolved when the store has not settled it at `deadline`.
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
        Self { base, next, delta, deadline, state, stored: false, sent: None, pruned: false }
    }

    /// Returns the first action.
    #[must_use]
    pub fn start(&self) -> Action {
        Action::Read(vec![HEAD_KEY.into(), version_key(self.next.number())])
    }

    /// Returns the version that is submitted, to activate it once accepted.
    #[must_use]
    pub const fn snapshot(&self) -> &Snapshot {
        &self.next
    }

    /// Returns the change that is submitted.
    #[must_use]
    pub const fn delta(&self) -> &Delta {
        &self.delta
    }

    /// Returns until when a commit may still take effect whose result is not
    /// known. Until then the node must not report that nothing can be withdrawn,
    /// see [`crate::reachability::Reachability::unsettled`].
    #[must_use]
    pub fn unsettled_until(&self) -> Option<Instant> {
        let sent = self.sent.filter(|_| self.state != State::Done)?;
        Some(sent + COMMIT_LIFETIME)
    }

    /// Takes the result of the last action and returns the next one.
    pub fn handle(&mut self, now: Instant, event: Event) -> Action {
        match (self.state, event) {
            (State::Reading, Event::Read(rows)) => self.read(now, &rows),
            (State::Storing { head }, Event::Stored) => {
                self.stored = true;
                self.commit(now, head)
            }
            (State::Committing, Event::Committed) => self.accepted(),
            (State::Committing, Event::Refused) | (State::Waiting, Event::Waited) => {
                self.read_again()
            }
            _ if now >= self.deadline => self.unresolved(),
            _ => self.wait(),
        }
    }

    fn read(&mut self, now: Instant, rows: &Rows) -> Action {
        let key = version_key(self.next.number());
        if let Some(row) = rows.get(&key) {
            return self.settle(&key, row);
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
            // The two rows may have been read before and after a commit, so the
            // version's row is read once more before it counts as gone.
            number if number > base && !self.pruned => {
                self.pruned = true;
                self.read_again()
            }
            number if number > base => self.reject(Rejection::Conflict { base, winner: None }),
            _ if head.checksum != self.base.checksum() => {
                self.reject(Rejection::DifferentBase { base })
            }
            _ if self.stored => self.commit(now, revision),
            _ => {
                self.state = State::Storing { head: revision };
                Action::Put { name: object_name(self.next.checksum()), bytes: self.next.bytes() }
            }
        }
    }

    fn settle(&mut self, key: &str, row: &Row) -> Action {
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

    fn commit(&mut self, now: Instant, head: u64) -> Action {
        self.state = State::Committing;
        self.sent = Some(now);
        let Delta { number, checksum, operation, .. } = &self.delta;
        let operation = operation.clone();
        let row = Head { number: *number, checksum: *checksum, operation: operation.clone() };
        let key = version_key(*number);
        let conditions = vec![
            Condition { key: HEAD_KEY.into(), revision: head },
            Condition { key: key.clone(), revision: 0 },
        ];
        let writes = vec![
            Write { key: HEAD_KEY.into(), value: text(&row) },
            Write { key, value: text(&self.delta) },
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
        // The commit may still take effect, so the state stays unsettled.
        Action::Done(Err(Rejection::Unresolved { operation }))
    }
}

/// Serialises a row; the types have no maps with other than text keys, so that
/// this can't fail.
fn text(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
