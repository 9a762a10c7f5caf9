use std::collections::BTreeMap;

use tamarackdock_config::{
    Deployment,
    accept::{Condition, HEAD_KEY, Head, Row, Rows, Write, object_name, version_key},
    deployment::Account,
    version::{Checksum, Delta, VersionNumber},
};
use tamarackdock_types::{AccountName, key::Hash};

#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Request {
    Read(Vec<String>),
    Head,
    Deltas { head: Head, after: VersionNumber },
    Copy(Head),
    Put { name: String, bytes: Vec<u8> },
    Commit { conditions: Vec<Condition>, writes: Vec<Write> },
}

#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Response {
    Read(Rows),
    Head(Head),
    Deltas(Head, Vec<Delta>),
    Copy(Head, Option<Vec<u8>>),
    Stored,
    Committed,
    Refused,
}

/// A commit that took effect.
#[derive(Debug, Clone)]
pub(crate) struct Committed {
    pub(crate) at: u64,
    pub(crate) number: VersionNumber,
    pub(crate) checksum: Checksum,
    pub(crate) operation: String,
}

#[derive(Debug, Default)]
pub(crate) struct Store {
    rows: Rows,
    objects: BTreeMap<String, Vec<u8>>,
    revision: u64,
    /// Commits in the order in which they took effect.
    pub(crate) history: Vec<Committed>,
}

impl Store {
    pub(crate) fn handle(&mut self, now: u64, request: Request) -> Response {
        match request {
            Request::Read(keys) => Response::Read(
                keys.iter()
                    .filter_map(|key| Some((key.clone(), self.rows.get(key)?.clone())))
                    .collect(),
            ),
            Request::Head => Response::Head(self.head()),
            Request::Deltas { head, after } => {
                let numbers = (after.0 + 1..=head.number.0).map(VersionNumber);
                let rows = numbers.filter_map(|number| self.rows.get(&version_key(number)));
                let deltas = rows.map(|row| serde_json::from_str(&row.value).unwrap()).collect();
                Response::Deltas(head, deltas)
            }
            Request::Copy(head) => {
                let copy = self.objects.get(&object_name(head.checksum)).cloned();
                Response::Copy(head, copy)
            }
            Request::Put { name, bytes } => {
                self.objects.insert(name, bytes);
                Response::Stored
            }
            Request::Commit { conditions, writes } => self.commit(now, &conditions, writes),
        }
    }

    fn head(&self) -> Head {
        let row = self.rows.get(HEAD_KEY);
        row.map_or_else(Head::empty, |row| serde_json::from_str(&row.value).unwrap())
    }

    fn commit(&mut self, now: u64, conditions: &[Condition], writes: Vec<Write>) -> Response {
        let revision = |key: &String| self.rows.get(key).map_or(0, |row| row.revision);
        if conditions.iter().any(|condition| revision(&condition.key) != condition.revision) {
            return Response::Refused;
        }
        self.revision += 1;
        for Write { key, value } in writes {
            self.rows.insert(key, Row { revision: self.revision, value });
        }
        let Head { number, checksum, operation } = self.head();
        self.history.push(Committed { at: now, number, checksum, operation });
        Response::Committed
    }
}

/// Returns a configuration whose only key depends on the operation, so that each version
/// withdraws the key of the version before.
pub(crate) fn deployment(operation: u64) -> Deployment {
    let keys = vec![Hash::of(&operation.to_be_bytes())];
    let name = AccountName::new("a").unwrap();
    let accounts = vec![Account { name, weight: 1, keys, services: Vec::new() }];
    Deployment { accounts, ..Deployment::default() }
}
