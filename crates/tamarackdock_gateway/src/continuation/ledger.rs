//! The rows by which a node's streams outlive it.
//!
//! A row for each stream would cost a write each. A node writes the streams of some seconds into
//! one row, again and again while it grows, so that it makes few writes and leaves few rows, and
//! so that all rows together can be read when all nodes have been killed.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tamarackdock_types::clock::Instant;

use super::{KEEP_FOR, Key, MAX_STREAMS};
use crate::target::Software;

/// Time for which streams are added to one row.
const ROW_SPAN: Duration = Duration::from_secs(10);
/// Most streams of a row: 21 KB, which fits into half of the smallest known bound of a row.
const MAX_ROW_STREAMS: usize = 1_000;

/// The streams that one software began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Group {
    pub(crate) software: Software,
    pub(crate) streams: Vec<Key>,
}

/// A row: streams that one node has begun or taken up within [`ROW_SPAN`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Row {
    /// Store time of the last stream that was added, in milliseconds.
    pub(crate) written_ms: i64,
    pub(crate) groups: Vec<Group>,
}

/// A row as this node keeps it.
#[derive(Debug)]
struct Page {
    number: u64,
    opened: Instant,
    changed: Instant,
    streams: BTreeMap<Software, Vec<Key>>,
    count: usize,
    /// Number of streams that are in the store.
    written: usize,
}

/// A change of a row that is due.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Change {
    /// Number of the row among those of this node's run.
    pub(crate) number: u64,
    /// The new content, or `None` if the row is no longer needed.
    pub(crate) groups: Option<Vec<Group>>,
    /// Number of streams in the content.
    count: usize,
}

/// The rows of this node's run.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    pages: VecDeque<Page>,
    opened: u64,
}

impl Ledger {
    /// Adds a stream to the newest row. Forgets the oldest rows beyond [`MAX_STREAMS`], which the
    /// store may not have taken for long.
    pub(crate) fn add(&mut self, stream: Key, software: &Software, now: Instant) {
        let is_open =
            |page: &Page| now.since(page.opened) < ROW_SPAN && page.count < MAX_ROW_STREAMS;
        if !self.pages.back().is_some_and(is_open) {
            self.pages.push_back(Page {
                number: self.opened,
                opened: now,
                changed: now,
                streams: BTreeMap::new(),
                count: 0,
                written: 0,
            });
            self.opened += 1;
        }
        if self.pages.len() > MAX_STREAMS / MAX_ROW_STREAMS {
            self.pages.pop_front();
        }
        if let Some(page) = self.pages.back_mut() {
            page.streams.entry(software.clone()).or_default().push(stream);
            page.count += 1;
            page.changed = now;
        }
    }

    /// Returns the changes that the store has not taken yet, oldest first.
    pub(crate) fn changes(&self, now: Instant) -> Vec<Change> {
        let due = self.pages.iter().filter_map(|page| {
            let groups = match () {
                () if now.since(page.changed) >= KEEP_FOR => None,
                () if page.written < page.count => Some(page.groups()),
                () => return None,
            };
            Some(Change { number: page.number, groups, count: page.count })
        });
        due.collect()
    }

    /// Records that the store has taken changes.
    pub(crate) fn confirm(&mut self, changes: &[Change]) {
        for change in changes {
            match self.pages.iter().position(|page| page.number == change.number) {
                Some(index) if change.groups.is_none() => drop(self.pages.remove(index)),
                Some(index) => self.pages[index].written = change.count,
                None => {}
            }
        }
    }
}

impl Page {
    fn groups(&self) -> Vec<Group> {
        let groups = self.streams.iter();
        groups
            .map(|(software, streams)| Group {
                software: software.clone(),
                streams: streams.clone(),
            })
            .collect()
    }
}
