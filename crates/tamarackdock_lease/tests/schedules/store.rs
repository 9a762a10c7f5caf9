use std::collections::BTreeMap;

use tamarackdock_platform::{
    Error,
    table::{Commit, Row},
};

/// A table that follows the rules of `docs/platform.md`.
#[derive(Default)]
pub(crate) struct Store {
    rows: BTreeMap<String, Row>,
    revision: u64,
    pub(crate) down_until: u64,
}

impl Store {
    pub(crate) fn read(&self, keys: &[String]) -> BTreeMap<String, Row> {
        keys.iter().filter_map(|key| Some((key.clone(), self.rows.get(key)?.clone()))).collect()
    }

    pub(crate) fn commit(&mut self, commit: &Commit) -> Result<u64, Error> {
        for condition in &commit.conditions {
            if self.rows.get(&condition.key).map_or(0, |row| row.revision) != condition.revision {
                return Err(Error::Conflict { key: condition.key.clone() });
            }
        }
        self.revision += 1;
        for write in &commit.writes {
            let row = Row {
                key: write.key.clone(),
                revision: self.revision,
                value: write.value.clone().unwrap_or_default(),
                operation: commit.operation.clone(),
            };
            self.rows.insert(write.key.clone(), row);
        }
        Ok(self.revision)
    }
}
