use std::{collections::BTreeMap, sync::Arc};

use bytes::{Bytes, BytesMut};
use tamarackdock_types::{clock::Instant, fence::Epoch, weight::Version};

use super::{
    action::Action,
    backoff,
    chunk::{Chunk, Staged, State},
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
    /// The manifest as the row holds it, without expired samples.
    pub(super) recorded: Manifest,
    pub(super) revision: u64,
    pub(super) acknowledged: u32,
    pub(super) commit: Commit,
    pub(super) failures: u32,
    /// Samples in no object.
    pub(super) staged: BTreeMap<u32, Staged>,
    /// Samples in an object, but not in the row.
    pub(super) held: BTreeMap<u32, Entry>,
    pub(super) chunks: BTreeMap<Arc<str>, Chunk>,
    /// Whether a read waits for the next position of the delivery order.
    pub(super) demanded: bool,
    /// Complete groups that are not placed, in the order of completion.
    pub(super) complete: Vec<u32>,
    pub(super) last_commit: Option<Instant>,
    pub(super) waiting_since: Option<Instant>,
    pub(super) next_name: u64,
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
            held: BTreeMap::new(),
            chunks: BTreeMap::new(),
            demanded: false,
            complete: Vec::new(),
            last_commit: None,
            waiting_since: None,
            next_name: 0,
        }
    }

    pub(super) fn has(&self, slot: u32) -> bool {
        self.recorded.contains(slot)
            || self.held.contains_key(&slot)
            || self.staged.contains_key(&slot)
    }

    /// Takes the first sample of a slot; a later one is dropped.
    pub(super) fn take(&mut self, now: Instant, slot: u32, staged: Staged) {
        if self.has(slot) {
            return;
        }
        self.staged.insert(slot, staged);
        self.waiting_since.get_or_insert(now);
        self.complete_group(slot / self.request.fields().group_size);
    }

    fn complete_group(&mut self, group: u32) {
        let known = self.recorded.is_placed(group) || self.complete.contains(&group);
        if !known && self.request.slots_of(group).all(|slot| self.has(slot)) {
            self.complete.push(group);
        }
    }

    /// Brings the list of complete groups up to date after samples were removed or adopted.
    pub(super) fn find_complete(&mut self) {
        let mut complete = std::mem::take(&mut self.complete);
        complete.retain(|group| {
            !self.recorded.is_placed(*group)
                && self.request.slots_of(*group).all(|slot| self.has(slot))
        });
        self.complete = complete;
        for group in 0..self.request.groups() {
            self.complete_group(group);
        }
    }

    /// Drops the samples that are too old and not placed.
    pub(super) fn expire(&mut self, newest: Version) {
        let request = &self.request;
        self.recorded.expire(request, newest);
        self.held.retain(|_, entry| !request.is_stale(entry.oldest, newest));
        self.staged.retain(|_, staged| !request.is_stale(staged.oldest, newest));
        self.find_complete();
        self.release_chunks();
    }

    pub(super) fn all_filled(&self) -> bool {
        let filled = self.recorded.len() + self.held.len() + self.staged.len();
        filled >= self.request.samples() as usize
    }

    fn schedule(&self) -> Schedule {
        let waiting = self.held.len() + self.staged.len();
        let demanded = self.demanded && !self.complete.is_empty();
        let has_news = waiting > 0 || demanded || self.acknowledged > self.recorded.acknowledged;
        Schedule {
            last: self.last_commit,
            waiting_since: self.waiting_since,
            waiting: u32::try_from(waiting).unwrap_or(u32::MAX),
            total: self.request.samples(),
            writes: self.recorded.writes,
            all_filled: has_news && self.all_filled(),
            is_last: self.held.is_empty() || self.staged.is_empty(),
            demanded,
        }
    }

    /// Sends what is due: objects first, then the row that names them.
    pub(super) fn advance(&mut self, now: Instant, newest: Version) -> Vec<Action> {
        let mut actions = self.retry_chunks(now);
        match self.commit {
            Commit::ReadBack { at } if at <= now => {
                self.commit = Commit::Reading;
                actions.push(Action::ReadManifest);
            }
            Commit::Idle if self.schedule().is_due(now) => {
                actions.extend(self.record(now, newest));
            }
            _ => {}
        }
        actions
    }

    /// New samples stay in memory until the objects before them are in the row,
    /// so that an outage does not make many small objects.
    fn record(&mut self, now: Instant, newest: Version) -> Vec<Action> {
        let stored = |chunk: &Chunk| chunk.state == State::Stored;
        match () {
            () if !self.chunks.values().all(stored) => Vec::new(),
            () if self.held.is_empty() && !self.staged.is_empty() => self.seal(),
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
                    actions.push(Action::StoreChunk { name: name.to_string(), bytes });
                }
                _ => {}
            }
        }
        actions
    }

    /// Moves the staged samples into objects of bounded size.
    fn seal(&mut self) -> Vec<Action> {
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
            self.held.insert(slot, entry);
        }
        if !bytes.is_empty() {
            actions.push(self.send_chunk(&name, bytes.freeze()));
        }
        actions
    }

    fn chunk_name(&mut self) -> Arc<str> {
        let fields = self.request.fields();
        let name =
            format!("step/{}/{}/{}-{}", fields.trainer, fields.step, self.epoch, self.next_name);
        self.next_name += 1;
        name.into()
    }

    fn send_chunk(&mut self, name: &Arc<str>, bytes: Bytes) -> Action {
        let chunk = Chunk { bytes: bytes.clone(), state: State::Sending { failures: 0 } };
        self.chunks.insert(Arc::clone(name), chunk);
        Action::StoreChunk { name: name.to_string(), bytes }
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
        let operation = format!("{}-{}-{}", self.epoch, self.revision, self.next_name);
        self.next_name += 1;
        let value = match next.encode() {
            Ok(value) => value,
            Err(error) => return Some(Action::Corrupt(error)),
        };
        self.commit = Commit::Sending { operation: operation.clone(), manifest: Box::new(next) };
        Some(Action::CommitManifest { operation, revision: self.revision, value })
    }

    /// Makes the next content of the row. Groups are placed strictly in the
    /// order in which they became complete, and only once the trainer waits
    /// for them: a placed sample is never replaced, so that one that is placed
    /// long before it is read would be older than the bound when it is.
    fn next_manifest(&self, newest: Version) -> Manifest {
        let mut next = self.recorded.clone();
        next.epoch = self.epoch;
        next.writes += 1;
        next.newest = newest;
        next.acknowledged = self.acknowledged;
        for (slot, entry) in self.held.iter().filter(|(_, entry)| self.is_stored(entry)) {
            next.record(*slot, entry.clone());
        }
        if !self.demanded {
            return next;
        }
        let mut page = Vec::new();
        let mut page_bytes = 0;
        for group in &self.complete {
            let entries: Vec<&Entry> =
                self.request.slots_of(*group).filter_map(|slot| next.entry(slot)).collect();
            if entries.len() < self.request.fields().group_size as usize {
                break;
            }
            let bytes: u64 = entries.iter().map(|entry| u64::from(entry.length)).sum();
            if !page.is_empty() && page_bytes + bytes > MAX_PAGE_BYTES {
                next.place(std::mem::take(&mut page));
                page_bytes = 0;
            }
            page.push(*group);
            page_bytes += bytes;
        }
        if !page.is_empty() {
            next.place(page);
        }
        next
    }

    pub(super) fn chunk_done(&mut self, now: Instant, name: &str, stored: bool) {
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

    /// Takes over the content of the row. The samples in it win over those
    /// that this holder has for the same slots.
    pub(super) fn adopt(&mut self, now: Instant, recorded: Manifest, revision: u64) {
        self.acknowledged = self.acknowledged.max(recorded.acknowledged);
        self.recorded = recorded;
        self.revision = revision;
        self.commit = Commit::Idle;
        let recorded = &self.recorded;
        self.held.retain(|slot, _| !recorded.contains(*slot));
        self.staged.retain(|slot, _| !recorded.contains(*slot));
        self.find_complete();
        self.release_chunks();
        let waits = !self.held.is_empty() || !self.staged.is_empty() || !self.complete.is_empty();
        self.waiting_since = waits.then_some(now);
    }

    /// Drops the content of objects that hold no samples that are still to be read.
    pub(super) fn release_chunks(&mut self) {
        let mut used = self.recorded.objects_in_use();
        used.extend(self.held.values().map(|entry| Arc::clone(&entry.object)));
        self.chunks.retain(|name, _| used.contains(name));
    }
}
