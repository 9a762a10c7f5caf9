use std::collections::BTreeMap;

use tamarackdock_platform::{
    Error,
    table::{Commit, Row},
};

/// Simulated table with the rules of `docs/platform.md`.
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
            self.rows.remove(&write.key);
            let Some(value) = write.value.clone() else { continue };
            let (key, operation) = (write.key.clone(), commit.operation.clone());
            let row = Row { key: key.clone(), revision: self.revision, value, operation };
            self.rows.insert(key, row);
        }
        Ok(self.revision)
    }
}
