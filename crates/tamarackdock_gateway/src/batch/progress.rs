//! The text of an item so far, and how it is kept in the store so that another
//! node can go on with it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tamarackdock_platform::table::{Row, Write};

use super::rows;
use crate::event::Event;

/// Largest text of one row in bytes.
const MAX_SEGMENT: usize = 24 * 1024;

/// The output of one event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Part(Option<u64>, String);

/// The text of an item so far.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Progress {
    /// Id of the last event.
    last_event: Option<u64>,
    /// Output of the events, with the version that made each.
    parts: Vec<Part>,
    /// Number of events that the store holds.
    saved: usize,
    /// Number of times that the text was begun anew.
    generation: u32,
}

/// An event can't follow the text so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct OutOfOrder;

impl Progress {
    /// Appends an event that was made under a version.
    pub(crate) fn append(&mut self, event: &Event, version: Option<u64>) -> Result<(), OutOfOrder> {
        let id = event.id.ok_or(OutOfOrder)?;
        let follows = match self.last_event {
            Some(last) => id == last + 1,
            None => id <= 1,
        };
        if !follows {
            return Err(OutOfOrder);
        }
        self.parts.push(Part(version, event.data.clone()));
        self.last_event = Some(id);
        Ok(())
    }

    /// Begins the text anew.
    pub(crate) fn restart(&mut self) {
        *self = Self { generation: self.generation + 1, ..Self::default() };
    }

    /// Returns the id of the last event.
    pub(crate) fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Returns the number of events.
    pub(crate) fn events(&self) -> usize {
        self.parts.len()
    }

    /// Returns the number of events that the store does not hold.
    pub(crate) fn unsaved(&self) -> usize {
        self.parts.len() - self.saved
    }

    /// Returns the versions that made the text, in order of their first use.
    pub(crate) fn versions(&self) -> Vec<u64> {
        let mut versions = Vec::new();
        for version in self.parts.iter().filter_map(|part| part.0) {
            if !versions.contains(&version) {
                versions.push(version);
            }
        }
        versions
    }

    /// Returns the data of all events, separated by line feeds.
    pub(crate) fn text(&self) -> String {
        let data: Vec<&str> = self.parts.iter().map(|part| part.1.as_str()).collect();
        data.join("\n")
    }

    /// Makes the text that of another job, whose rows the store does not hold
    /// under this job.
    pub(crate) fn into_new_job(mut self) -> Self {
        self.saved = 0;
        self.generation = 0;
        self
    }

    /// Returns rows for the events that the store does not hold. `prefix` names
    /// the item and `epoch` the number of the owner.
    pub(crate) fn segments(&self, prefix: &str, epoch: u64) -> Vec<Write> {
        let mut writes = Vec::new();
        let mut from = self.saved;
        while from < self.parts.len() {
            let mut size = 0;
            let fitting = self.parts[from..].iter().take_while(|part| {
                let first = size == 0;
                size += part.1.len() + 1;
                first || size <= MAX_SEGMENT
            });
            let to = from + fitting.count();
            let last = self.last_event.map(|last| last - (self.parts.len() - to) as u64);
            let segment = Segment { last, parts: self.parts[from..to].to_vec() };
            let key = format!("{prefix}/{epoch:04}{:04}{from:06}", self.generation);
            writes.push(Write { key, value: serde_json::to_string(&segment).ok() });
            from = to;
        }
        writes
    }

    /// Records that the store holds the first `events` events.
    pub(crate) fn saved(&mut self, events: usize, generation: u32) {
        if self.generation == generation {
            self.saved = self.saved.max(events);
        }
    }

    /// Returns the number of times that the text was begun anew.
    pub(crate) fn generation(&self) -> u32 {
        self.generation
    }
}

/// Some events in a row, as the store holds them.
#[derive(Debug, Serialize, Deserialize)]
struct Segment {
    /// Id of the last event.
    last: Option<u64>,
    parts: Vec<Part>,
}

/// Joins the segments of a job's items. Rows come in the order of their keys:
/// by item, owner, generation and first event. A segment of the first event
/// begins a text anew, one that follows the text so far goes on with it, and
/// others are left out. Owners write under the condition that they still are
/// it, so that none adds to a text after the next one has read it.
pub(crate) fn assemble(job: &str, stored: &[Row]) -> BTreeMap<String, Progress> {
    let prefix = rows::progress(job, "");
    let mut texts: BTreeMap<String, Progress> = BTreeMap::new();
    for row in stored {
        let Some((item, number)) =
            row.key.strip_prefix(&prefix).and_then(|key| key.split_once('/'))
        else {
            continue;
        };
        let from = number.get(8..).and_then(|from| from.parse::<usize>().ok());
        let (Some(from), Ok(segment)) = (from, serde_json::from_str::<Segment>(&row.value)) else {
            continue;
        };
        let progress = texts.entry(item.to_owned()).or_default();
        if from == 0 {
            *progress = Progress::default();
        }
        if from == progress.parts.len() {
            progress.parts.extend(segment.parts);
            progress.last_event = segment.last;
            progress.saved = progress.parts.len();
        }
    }
    texts
}
