use std::collections::BTreeMap;

use bytes::Bytes;
use tamarackdock_platform::{
    Error,
    table::{Commit, Condition, Row},
};

/// A table and a report interface that follow the rules of `docs/platform.md`.
#[derive(Default)]
pub(crate) struct Store {
    rows: BTreeMap<String, Row>,
    revision: u64,
    pub(crate) down_until: u64,
    pub(crate) reports: BTreeMap<u64, Bytes>,
    pub(crate) repeated: u64,
}

impl Store {
    pub(crate) fn scan(&self, wanted: impl Fn(&str) -> bool) -> Vec<Row> {
        self.rows.values().filter(|row| wanted(&row.key)).cloned().collect()
    }

    pub(crate) fn commit(&mut self, commit: &Commit) -> Result<(), Error> {
        let holds = |condition: &&Condition| {
            self.rows.get(&condition.key).map_or(0, |row| row.revision) == condition.revision
        };
        if let Some(failed) = commit.conditions.iter().find(|condition| !holds(condition)) {
            return Err(Error::Conflict { key: failed.key.clone() });
        }
        for write in &commit.writes {
            self.put(&write.key, write.value.clone(), &commit.operation);
        }
        Ok(())
    }

    pub(crate) fn put(&mut self, key: &str, value: Option<String>, operation: &str) -> Condition {
        self.revision += 1;
        self.rows.remove(key);
        if let Some(value) = value {
            let (key, operation) = (key.to_owned(), operation.to_owned());
            let row = Row { key: key.clone(), revision: self.revision, value, operation };
            self.rows.insert(key, row);
        }
        Condition { key: key.to_owned(), revision: self.revision }
    }

    pub(crate) fn report(&mut self, report: u64, bytes: &Bytes) -> Result<(), Error> {
        if self.reports.contains_key(&report) {
            self.repeated += 1;
        }
        let accepted = self.reports.entry(report).or_insert_with(|| bytes.clone());
        let same = accepted == bytes;
        same.then_some(()).ok_or_else(|| Error::Conflict { key: report.to_string() })
    }
}
