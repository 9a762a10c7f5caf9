use std::{collections::BTreeMap, ops::Bound};

use tamarackdock_platform::table::{Commit, Condition, Row};

/// Table of rows that are changed by atomic commits.
#[derive(Debug, Default)]
pub struct Table {
    rows: BTreeMap<String, Row>,
    revision: u64,
    commits: Vec<Commit>,
}

impl Table {
    /// Returns the row with a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&Row> {
        self.rows.get(key)
    }

    /// Returns the rows whose keys start with a prefix, in the order of the keys.
    #[must_use]
    pub fn scan(&self, prefix: &str) -> Vec<&Row> {
        let rows = self.rows.range::<str, _>((Bound::Included(prefix), Bound::Unbounded));
        rows.take_while(|(key, _)| key.starts_with(prefix)).map(|(_, row)| row).collect()
    }

    /// Returns every commit that took effect, in order.
    #[must_use]
    pub fn commits(&self) -> &[Commit] {
        &self.commits
    }

    /// Applies all writes of a commit, or none, and returns the new revision.
    ///
    /// # Errors
    ///
    /// Returns the key and actual revision (0 for a missing row) of the first condition
    /// that does not hold.
    pub fn commit(&mut self, commit: Commit) -> Result<u64, Condition> {
        for condition in &commit.conditions {
            let revision = self.get(&condition.key).map_or(0, |row| row.revision);
            if revision != condition.revision {
                return Err(Condition { key: condition.key.clone(), revision });
            }
        }
        self.revision += 1;
        for write in &commit.writes {
            let key = write.key.clone();
            let operation = commit.operation.clone();
            match write.value.clone() {
                Some(value) => {
                    let row = Row { key: key.clone(), revision: self.revision, value, operation };
                    self.rows.insert(key, row);
                }
                None => drop(self.rows.remove(&key)),
            }
        }
        self.commits.push(commit);
        Ok(self.revision)
    }
}
