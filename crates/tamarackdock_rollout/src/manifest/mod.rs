//! The manifest of a step: the locations of its samples and the order in which
//! they are delivered.

mod entry;
mod error;
mod row;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

pub use entry::Entry;
pub use error::Error;
use row::Row;
use tamarackdock_types::{fence::Epoch, weight::Version};

use crate::request::Request;

/// The durable record of a step. It only grows, except that a sample that became
/// too old before its group was placed in the delivery order can be removed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Manifest {
    /// Lease epoch of the holder that wrote the manifest.
    pub epoch: Epoch,
    /// Number of writes so far, over all holders.
    pub writes: u32,
    /// Newest weight version that the holder knew when it wrote the manifest.
    pub newest: Version,
    /// Delivery position before which the trainer has acknowledged all samples.
    pub acknowledged: u32,
    group_size: u32,
    entries: BTreeMap<u32, Entry>,
    pages: Vec<Vec<u32>>,
    placed: BTreeSet<u32>,
}

impl Manifest {
    /// Makes the manifest of a step without samples.
    #[must_use]
    pub fn new(request: &Request) -> Self {
        Self { group_size: request.fields().group_size, ..Self::default() }
    }

    /// Records a sample unless the slot has one, and returns whether it did.
    pub fn record(&mut self, slot: u32, entry: Entry) -> bool {
        if self.entries.contains_key(&slot) {
            return false;
        }
        self.entries.insert(slot, entry);
        true
    }

    /// Removes the samples that are too old and whose group is not placed, and
    /// returns their slots.
    pub fn expire(&mut self, request: &Request, newest: Version) -> Vec<u32> {
        let stale: Vec<u32> = self
            .entries
            .iter()
            .filter(|(slot, _)| !self.placed.contains(&(**slot / self.group_size)))
            .filter(|(_, entry)| request.is_stale(entry.oldest, newest))
            .map(|(slot, _)| *slot)
            .collect();
        for slot in &stale {
            self.entries.remove(slot);
        }
        stale
    }

    /// Appends a page of groups to the delivery order. A page is read as a
    /// whole and never extended, so that reads at a cursor always return the
    /// same bytes.
    pub fn append_page(&mut self, page: Vec<u32>) {
        self.placed.extend(&page);
        self.pages.push(page);
    }

    /// Returns whether a slot has a recorded sample.
    #[must_use]
    pub fn contains(&self, slot: u32) -> bool {
        self.entries.contains_key(&slot)
    }

    /// Returns the recorded sample of a slot.
    #[must_use]
    pub fn entry(&self, slot: u32) -> Option<&Entry> {
        self.entries.get(&slot)
    }

    /// Returns whether a group is placed in the delivery order.
    #[must_use]
    pub fn is_placed(&self, group: u32) -> bool {
        self.placed.contains(&group)
    }

    /// Returns the number of recorded samples.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no sample is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of samples in the delivery order, which is the
    /// position after the last one.
    #[must_use]
    pub fn position(&self) -> u32 {
        u32::try_from(self.placed.len()).unwrap_or(u32::MAX).saturating_mul(self.group_size)
    }

    /// Returns the samples from a cursor to the end of its page, or `None` if
    /// the cursor is at or after the end of the delivery order.
    #[must_use]
    pub fn read(&self, cursor: u32) -> Option<Vec<&Entry>> {
        let mut first = cursor / self.group_size;
        for page in &self.pages {
            let length = u32::try_from(page.len()).unwrap_or(u32::MAX);
            if first < length {
                return Some(self.entries_of(&page[first as usize..]));
            }
            first -= length;
        }
        None
    }

    fn entries_of(&self, groups: &[u32]) -> Vec<&Entry> {
        groups
            .iter()
            .flat_map(|group| group * self.group_size..(group + 1) * self.group_size)
            .filter_map(|slot| self.entries.get(&slot))
            .collect()
    }

    /// Returns the objects with samples that are not acknowledged.
    #[must_use]
    pub fn objects_in_use(&self) -> BTreeSet<Arc<str>> {
        let acknowledged = (self.acknowledged / self.group_size) as usize;
        let acknowledged: BTreeSet<&u32> = self.pages.iter().flatten().take(acknowledged).collect();
        self.entries
            .iter()
            .filter(|(slot, _)| !acknowledged.contains(&(**slot / self.group_size)))
            .map(|(_, entry)| Arc::clone(&entry.object))
            .collect()
    }

    /// Encodes the manifest as the value of its row.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Json`] if the manifest can't be encoded as JSON.
    pub fn encode(&self) -> Result<String, Error> {
        Ok(serde_json::to_string(&Row::from_manifest(self))?)
    }

    /// Decodes the value of a row.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the value is not a valid manifest of this request.
    pub fn decode(request: &Request, value: &str) -> Result<Self, Error> {
        serde_json::from_str::<Row>(value)?.into_manifest(request)
    }
}
