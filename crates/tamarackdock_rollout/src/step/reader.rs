use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use bytes::Bytes;
use tamarackdock_types::clock::Instant;

use super::{
    action::Action,
    backoff,
    chunk::{Chunk, State},
    recorder::Recorder,
};
use crate::manifest::Entry;

/// Serves the reads of the trainer, which may wait for the manifest to be written
/// or for an object to be loaded.
#[derive(Debug, Default)]
pub(super) struct Reader {
    waiting: BTreeSet<u32>,
    loading: BTreeMap<Arc<str>, Load>,
}

/// The state of the read of an object.
#[derive(Debug, Clone, Copy, Default)]
struct Load {
    failures: u32,
    retry_at: Option<Instant>,
}

impl Reader {
    pub(super) fn read(&mut self, recorder: &Recorder, cursor: u32) -> Vec<Action> {
        let request = &recorder.request;
        if cursor > request.samples() || !cursor.is_multiple_of(request.fields().group_size) {
            return vec![Action::Reject { cursor }];
        }
        if cursor == request.samples() {
            return vec![Action::Deliver { cursor, next: cursor, samples: Vec::new() }];
        }
        self.waiting.insert(cursor);
        let actions = self.serve(recorder, cursor);
        if self.waiting.contains(&cursor) {
            return [Action::Wait { cursor }].into_iter().chain(actions).collect();
        }
        actions
    }

    /// Returns whether a read waits at the end of the delivery order.
    pub(super) fn waits_for_next_page(&self, recorder: &Recorder) -> bool {
        self.waiting.contains(&recorder.recorded.position())
    }

    /// Serves the waiting reads whose samples are now recorded and in memory.
    pub(super) fn serve_waiting(&mut self, recorder: &Recorder) -> Vec<Action> {
        let waiting: Vec<u32> = self.waiting.iter().copied().collect();
        waiting.into_iter().flat_map(|cursor| self.serve(recorder, cursor)).collect()
    }

    /// Delivers a recorded page, or loads the objects that it needs.
    fn serve(&mut self, recorder: &Recorder, cursor: u32) -> Vec<Action> {
        let Some(entries) = recorder.recorded.read(cursor) else {
            return Vec::new();
        };
        let samples: Option<Vec<Bytes>> =
            entries.iter().map(|entry| body(recorder, entry)).collect();
        match samples {
            Some(samples) => {
                self.waiting.remove(&cursor);
                let count = u32::try_from(samples.len()).unwrap_or(u32::MAX);
                vec![Action::Deliver { cursor, next: cursor + count, samples }]
            }
            None => self.load(recorder, &entries),
        }
    }

    fn load(&mut self, recorder: &Recorder, entries: &[&Entry]) -> Vec<Action> {
        let mut actions = Vec::new();
        for entry in entries {
            let known = recorder.chunks.contains_key(&entry.object);
            if !known && !self.loading.contains_key(&entry.object) {
                self.loading.insert(Arc::clone(&entry.object), Load::default());
                actions.push(Action::LoadObject { name: entry.object.to_string() });
            }
        }
        actions
    }

    pub(super) fn loaded(&mut self, recorder: &mut Recorder, name: &str, bytes: Bytes) {
        if self.loading.remove(name).is_some() {
            let chunk = Chunk { bytes, state: State::Stored };
            recorder.chunks.entry(name.into()).or_insert(chunk);
        }
    }

    pub(super) fn load_failed(&mut self, now: Instant, name: &str) {
        if let Some(load) = self.loading.get_mut(name) {
            load.failures += 1;
            load.retry_at = Some(now + backoff::delay(load.failures));
        }
    }

    pub(super) fn retry_loads(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        for (name, load) in &mut self.loading {
            if load.retry_at.is_some_and(|at| at <= now) {
                load.retry_at = None;
                actions.push(Action::LoadObject { name: name.to_string() });
            }
        }
        actions
    }
}

fn body(recorder: &Recorder, entry: &Entry) -> Option<Bytes> {
    let chunk = recorder.chunks.get(&entry.object)?;
    let start = entry.offset as usize;
    let end = start + entry.length as usize;
    (end <= chunk.bytes.len()).then(|| chunk.bytes.slice(start..end))
}
