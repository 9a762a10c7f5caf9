use std::{collections::BTreeMap, sync::Arc};

use bytes::{Bytes, BytesMut};
use tamarackdock_types::{clock::Instant, fence::Epoch, weight::Version};

use super::{
    action::Action,
    backoff,
    chunk::{Chunk, StagedSample, State},
    commit::Commit,
    schedule::{MAX_CHUNK_BYTES, MAX_PAGE_BYTES, Schedule},
};
use crate::{
    manifest::{Entry, Manifest},
    request::Request,
};

/// Writes samples to objects and the manifest to its row.
pub(super) struct Recorder {
    pub(super) request: Request,
    pub(super) epoch: Epoch,
    /// The manifest as in the row, without expired samples.
    pub(super) recorded: Manifest,
    pub(super) revision: u64,
    pub(super) acknowledged: u32,
    pub(super) commit: Commit,
    pub(super) failures: u32,
    /// Samples that are in no object, by slot.
    pub(super) staged: BTreeMap<u32, StagedSample>,
    /// Samples that are in an object but not in the row, by slot.
    pub(super) uncommitted: BTreeMap<u32, Entry>,
    pub(super) chunks: BTreeMap<Arc<str>, Chunk>,
    /// Whether a read waits at the end of the delivery order.
    pub(super) read_waiting: bool,
    /// Complete groups that are not in the delivery order, in the order of completion.
    pub(super) complete_groups: Vec<u32>,
    pub(super) last_commit: Option<Instant>,
    pub(super) waiting_since: Option<Instant>,
    pub(super) next_number: u64,
}

impl Recorder {
    pub(super) fn new(request: Request, epoch: Epoch) -> Self {
        Self {
            acknowledged: 0,
            recorded: Manifest::new(&request),
            request,
            epoch,
            revision: 0,
            commit: Commit::Idle,
            failures: 0,
            staged: BTreeMap::new(),
            uncommitted: BTreeMap::new(),
            chunks: BTreeMap::new(),
            read_waiting: false,
            complete_groups: Vec::new(),
            last_commit: None,
            waiting_since: None,
            next_number: 0,
        }
    }

    pub(super) fn has_sample(&self, slot: u32) -> bool {
        self.recorded.contains(slot)
            || self.uncommitted.contains_key(&slot)
            || self.staged.contains_key(&slot)
    }

    /// Adds the first sample of a slot; later ones are dropped.
    pub(super) fn add_sample(&mut self, now: Instant, slot: u32, staged: StagedSample) {
        if self.has_sample(slot) {
            return;
        }
        self.staged.insert(slot, staged);
        self.waiting_since.get_or_insert(now);
        self.add_if_complete(slot / self.request.fields().group_size);
    }

    fn add_if_complete(&mut self, group: u32) {
        let known = self.recorded.is_placed(group) || self.complete_groups.contains(&group);
        if !known && self.request.slots_of(group).all(|slot| self.has_sample(slot)) {
            self.complete_groups.push(group);
        }
    }

    /// Updates the complete groups after samples were removed or the recorded
    /// manifest was replaced.
    pub(super) fn update_complete_groups(&mut self) {
        let mut complete = std::mem::take(&mut self.complete_groups);
        complete.retain(|group| {
            !self.recorded.is_placed(*group)
                && self.request.slots_of(*group).all(|slot| self.has_sample(slot))
        });
        self.complete_groups = complete;
        for group in 0..self.request.groups() {
            self.add_if_complete(group);
        }
    }

    /// Drops the samples that are too old and not in the delivery order.
    pub(super) fn expire(&mut self, newest: Version) {
        let request = &self.request;
        self.recorded.expire(request, newest);
        self.uncommitted.retain(|_, entry| !request.is_stale(entry.oldest, newest));
        self.staged.retain(|_, staged| !request.is_stale(staged.oldest, newest));
        self.update_complete_groups();
        self.drop_unused_chunks();
    }

    pub(super) fn all_filled(&self) -> bool {
        let filled = self.recorded.len() + self.uncommitted.len() + self.staged.len();
        filled >= self.request.samples() as usize
    }

    fn schedule(&self) -> Schedule {
        let waiting = self.uncommitted.len() + self.staged.len();
        let groups_requested = self.read_waiting && !self.complete_groups.is_empty();
        let has_changes =
            waiting > 0 || groups_requested || self.acknowledged > self.recorded.acknowledged;
        Schedule {
            last_commit: self.last_commit,
            waiting_since: self.waiting_since,
            waiting: u32::try_from(waiting).unwrap_or(u32::MAX),
            total: self.request.samples(),
            writes: self.recorded.writes,
            all_filled: has_changes && self.all_filled(),
            covers_all: self.uncommitted.is_empty() || self.staged.is_empty(),
            groups_requested,
        }
    }

    /// Starts the writes that are due, and the read of the row if it is due. Objects
    /// are written before the row that names them.
    pub(super) fn start_due_requests(&mut self, now: Instant, newest: Version) -> Vec<Action> {
        let mut actions = self.retry_chunks(now);
        match self.commit {
            Commit::ReadBack { at } if at <= now => {
                self.commit = Commit::Reading;
                actions.push(Action::ReadManifest);
            }
            Commit::Idle if self.schedule().is_due(now) => {
                actions.extend(self.write_next(now, newest));
            }
            _ => {}
        }
        actions
    }

    /// Writes the staged samples to objects, or the row if its objects are stored.
    /// New samples stay in memory until the objects before them are in the row,
    /// so that an outage does not produce many small objects.
    fn write_next(&mut self, now: Instant, newest: Version) -> Vec<Action> {
        let stored = |chunk: &Chunk| chunk.state == State::Stored;
        match () {
            () if !self.chunks.values().all(stored) => Vec::new(),
            () if self.uncommitted.is_empty() && !self.staged.is_empty() => self.pack_staged(),
            () => self.commit(now, newest).into_iter().collect(),
        }
    }

    fn retry_chunks(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        for (name, chunk) in &mut self.chunks {
            match chunk.state {
                State::Failed { failures, at } if at <= now => {
                    chunk.state = State::Sending { failures };
                    let bytes = chunk.bytes.clone();
                    actions.push(Action::StoreObject { name: name.to_string(), bytes });
                }
                _ => {}
            }
        }
        actions
    }

    /// Moves the staged samples to objects of bounded size and sends these.
    fn pack_staged(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut bytes = BytesMut::new();
        let mut name = self.chunk_name();
        for (slot, staged) in std::mem::take(&mut self.staged) {
            if !bytes.is_empty() && bytes.len() + staged.body.len() > MAX_CHUNK_BYTES {
                actions.push(self.send_chunk(&name, bytes.split().freeze()));
                name = self.chunk_name();
            }
            let entry = Entry {
                object: Arc::clone(&name),
                offset: u32::try_from(bytes.len()).unwrap_or(u32::MAX),
                length: u32::try_from(staged.body.len()).unwrap_or(u32::MAX),
                oldest: staged.oldest,
                newest: staged.newest,
            };
            bytes.extend_from_slice(&staged.body);
            self.uncommitted.insert(slot, entry);
        }
        if !bytes.is_empty() {
            actions.push(self.send_chunk(&name, bytes.freeze()));
        }
        actions
    }

    fn chunk_name(&mut self) -> Arc<str> {
        let fields = self.request.fields();
        let name =
            format!("step/{}/{}/{}-{}", fields.trainer, fields.step, self.epoch, self.next_number);
        self.next_number += 1;
        name.into()
    }

    fn send_chunk(&mut self, name: &Arc<str>, bytes: Bytes) -> Action {
        let chunk = Chunk { bytes: bytes.clone(), state: State::Sending { failures: 0 } };
        self.chunks.insert(Arc::clone(name), chunk);
        Action::StoreObject { name: name.to_string(), bytes }
    }

    fn is_stored(&self, entry: &Entry) -> bool {
        self.chunks.get(&entry.object).is_some_and(|chunk| chunk.state == State::Stored)
    }

    fn commit(&mut self, now: Instant, newest: Version) -> Option<Action> {
        let next = self.next_manifest(newest);
        let grown = next.len() > self.recorded.len() || next.position() > self.recorded.position();
        let ended = next.position() == self.request.samples()
            && next.acknowledged == next.position()
            && self.recorded.acknowledged < next.acknowledged;
        if !grown && !ended {
            self.waiting_since = None;
            return None;
        }
        self.last_commit = Some(now);
        let operation = format!("{}-{}-{}", self.epoch, self.revision, self.next_number);
        self.next_number += 1;
        let value = match next.encode() {
            Ok(value) => value,
            Err(error) => return Some(Action::Corrupt(error)),
        };
        self.commit = Commit::Sending { operation: operation.clone(), manifest: Box::new(next) };
        Some(Action::CommitManifest { operation, revision: self.revision, value })
    }

    /// Makes the next content of the row. Groups enter the delivery order
    /// strictly in the order in which they became complete, and only once the
    /// trainer waits for them: a sample in the delivery order is never replaced,
    /// so that one placed long before its read could exceed the staleness bound
    /// when it is read.
    fn next_manifest(&self, newest: Version) -> Manifest {
        let mut next = self.recorded.clone();
        next.epoch = self.epoch;
        next.writes += 1;
        next.newest = newest;
        next.acknowledged = self.acknowledged;
        for (slot, entry) in self.uncommitted.iter().filter(|(_, entry)| self.is_stored(entry)) {
            next.record(*slot, entry.clone());
        }
        if !self.read_waiting {
            return next;
        }
        let mut page = Vec::new();
        let mut page_bytes = 0;
        for group in &self.complete_groups {
            let entries: Vec<&Entry> =
                self.request.slots_of(*group).filter_map(|slot| next.entry(slot)).collect();
            if entries.len() < self.request.fields().group_size as usize {
                break;
            }
            let bytes: u64 = entries.iter().map(|entry| u64::from(entry.length)).sum();
            if !page.is_empty() && page_bytes + bytes > MAX_PAGE_BYTES {
                next.append_page(std::mem::take(&mut page));
                page_bytes = 0;
            }
            page.push(*group);
            page_bytes += bytes;
        }
        if !page.is_empty() {
            next.append_page(page);
        }
        next
    }

    pub(super) fn chunk_result(&mut self, now: Instant, name: &str, stored: bool) {
        let Some(chunk) = self.chunks.get_mut(name) else {
            return;
        };
        chunk.state = match chunk.state {
            State::Sending { .. } | State::Failed { .. } if stored => State::Stored,
            State::Sending { failures } => {
                let failures = failures + 1;
                State::Failed { failures, at: now + backoff::delay(failures) }
            }
            other => other,
        };
    }

    /// Replaces the recorded manifest by the content of the row. Samples in the
    /// row take precedence over those that this holder has for the same slots.
    pub(super) fn set_recorded(&mut self, now: Instant, recorded: Manifest, revision: u64) {
        self.acknowledged = self.acknowledged.max(recorded.acknowledged);
        self.recorded = recorded;
        self.revision = revision;
        self.commit = Commit::Idle;
        let recorded = &self.recorded;
        self.uncommitted.retain(|slot, _| !recorded.contains(*slot));
        self.staged.retain(|slot, _| !recorded.contains(*slot));
        self.update_complete_groups();
        self.drop_unused_chunks();
        let waits = !self.uncommitted.is_empty()
            || !self.staged.is_empty()
            || !self.complete_groups.is_empty();
        self.waiting_since = waits.then_some(now);
    }

    /// Drops the content of objects without unacknowledged samples.
    pub(super) fn drop_unused_chunks(&mut self) {
        let mut used = self.recorded.objects_in_use();
        used.extend(self.uncommitted.values().map(|entry| Arc::clone(&entry.object)));
        self.chunks.retain(|name, _| used.contains(name));
    }
}
