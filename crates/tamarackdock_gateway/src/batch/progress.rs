//! The text of an item so far, and its format in the store, from which another node can
//! continue it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tamarackdock_platform::table::{Row, Write};

use super::rows;
use crate::{
    event::{Event, OutOfOrder},
    target::Software,
};

/// Most bytes of text in a row of several events.
const MAX_SEGMENT_BYTES: usize = 24 * 1024;

/// The output of one event, with the version of the weights that produced it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EventText(Option<u64>, String);

impl EventText {
    /// Returns the bytes of memory that the event uses.
    fn memory(&self) -> usize {
        size_of::<Self>() + self.1.len()
    }
}

/// The text of an item so far.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Progress {
    /// Id of the last event, `None` before the first one.
    last_event: Option<u64>,
    events: Vec<EventText>,
    /// Bytes of memory that the events use.
    memory: usize,
    /// Software of the targets that made the events.
    made_by: Option<Software>,
    /// Number of events that the store holds.
    saved_events: usize,
    /// Whether the text is complete: no event follows.
    complete: bool,
    /// Whether the store holds the whole text, and that it is complete.
    saved_complete: bool,
    /// Number of times that the rows of the store were begun again.
    generation: u32,
}

impl Progress {
    /// Prepares for events of a target with this software. Returns whether it may continue the
    /// text.
    pub(crate) fn continue_with(&mut self, software: &Software) -> bool {
        if self.events.is_empty() {
            self.made_by = Some(software.clone());
        }
        self.made_by.as_ref() == Some(software)
    }

    /// Returns the software that alone can continue the text, or `None` before the first event.
    pub(crate) fn made_by(&self) -> Option<&Software> {
        self.made_by.as_ref().filter(|_| !self.events.is_empty())
    }

    /// Appends an event, which must have the next id, and the version of the weights that
    /// produced it.
    pub(crate) fn append(&mut self, event: &Event, version: Option<u64>) -> Result<(), OutOfOrder> {
        let id = event.follow(self.last_event)?;
        let text = EventText(version, event.data.clone());
        self.memory += text.memory();
        self.events.push(text);
        self.last_event = Some(id);
        Ok(())
    }

    /// Discards the text, so that the item begins again.
    pub(crate) fn restart(&mut self) {
        *self = Self { generation: self.generation + 1, ..Self::default() };
    }

    /// Returns the id of the last event, from which a target continues.
    pub(crate) fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Returns the number of events.
    pub(crate) fn event_count(&self) -> usize {
        self.events.len()
    }

    /// Returns the bytes of memory that the events use.
    pub(crate) fn memory(&self) -> usize {
        self.memory
    }

    /// Returns the number of events that the store does not hold.
    pub(crate) fn unsaved_events(&self) -> usize {
        self.events.len() - self.saved_events
    }

    /// Records that no event follows.
    pub(crate) fn mark_complete(&mut self) {
        self.complete = true;
    }

    /// Returns whether no event follows.
    pub(crate) fn is_complete(&self) -> bool {
        self.complete
    }

    /// Returns whether the store holds the text, and that it is complete.
    pub(crate) fn is_saved_complete(&self) -> bool {
        self.saved_complete
    }

    /// Returns the versions that produced the text, in order of their first use.
    pub(crate) fn versions(&self) -> Vec<u64> {
        let mut versions = Vec::new();
        for version in self.events.iter().filter_map(|event| event.0) {
            if !versions.contains(&version) {
                versions.push(version);
            }
        }
        versions
    }

    /// Returns the data of all events, separated by line feeds.
    pub(crate) fn text(&self) -> String {
        let data: Vec<&str> = self.events.iter().map(|event| event.1.as_str()).collect();
        data.join("\n")
    }

    /// Returns the text for use in another job, for which the store holds no rows yet.
    pub(crate) fn into_new_job(mut self) -> Self {
        self.saved_events = 0;
        self.saved_complete = false;
        self.generation = 0;
        self
    }

    /// Returns rows for the events that the store does not hold. `prefix` is the key
    /// prefix of the item and `epoch` the number of the owner.
    pub(crate) fn segments(&self, prefix: &str, epoch: u64) -> Vec<Write> {
        let mut writes = Vec::new();
        let mut from = self.saved_events;
        // A row without events can follow the others, to say that the text is complete.
        while from < self.events.len()
            || (writes.is_empty() && self.complete && !self.saved_complete)
        {
            let mut size = 0;
            let fitting = self.events[from..].iter().take_while(|event| {
                let first = size == 0;
                size += event.1.len() + 1;
                first || size <= MAX_SEGMENT_BYTES
            });
            let to = from + fitting.count();
            let last = self.last_event.map(|last| last - (self.events.len() - to) as u64);
            let complete = self.complete && to == self.events.len();
            let parts = self.events[from..to].to_vec();
            let segment = Segment { last, parts, complete, made_by: self.made_by.clone() };
            let key = format!("{prefix}/{epoch:04}{:04}{from:06}", self.generation);
            writes.push(Write { key, value: serde_json::to_string(&segment).ok() });
            from = to;
        }
        writes
    }

    /// Records that the store holds what `saved` says. Does nothing if the text was begun
    /// again in the meantime.
    pub(crate) fn mark_saved(&mut self, saved: Saved) {
        if self.generation == saved.generation {
            self.saved_events = self.saved_events.max(saved.events);
            self.saved_complete |= saved.complete;
        }
    }

    /// Makes the next segments begin with the first event, under keys of their own. A write
    /// that failed may still take effect later, and must not replace newer rows.
    pub(crate) fn save_anew(&mut self) {
        self.generation += 1;
        self.saved_events = 0;
        self.saved_complete = false;
    }

    /// Returns what the store holds once the present [`Self::segments`] are written.
    pub(crate) fn extent(&self) -> Saved {
        Saved { events: self.events.len(), complete: self.complete, generation: self.generation }
    }
}

/// How much of a text the store holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Saved {
    events: usize,
    complete: bool,
    generation: u32,
}

/// Consecutive events of an item, as one row of the store holds them.
#[derive(Debug, Serialize, Deserialize)]
struct Segment {
    /// Id of the last of these events.
    last: Option<u64>,
    /// The events. Stored under this name.
    parts: Vec<EventText>,
    /// Whether the text ends with these events.
    #[serde(default)]
    complete: bool,
    /// Software that made the events. Rows of earlier releases don't name it.
    made_by: Option<Software>,
}

/// Joins the segments of a job's items to their texts, by item id. Rows come in the order
/// of their keys: by item, owner, generation and first event. A segment with the first
/// event begins the text again, one that follows the text so far continues it, and others
/// are ignored. Owners write under the condition that they still own the job, so that none
/// adds to a text after the next owner has read it.
pub(crate) fn join_segments(job: &str, stored: &[Row]) -> BTreeMap<String, Progress> {
    let prefix = rows::progress_key(job, "");
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
        if from == progress.events.len() {
            progress.memory += segment.parts.iter().map(EventText::memory).sum::<usize>();
            progress.events.extend(segment.parts);
            progress.last_event = segment.last;
            progress.made_by = segment.made_by;
            progress.saved_events = progress.events.len();
            progress.complete = segment.complete;
            progress.saved_complete = segment.complete;
        }
    }
    texts
}
