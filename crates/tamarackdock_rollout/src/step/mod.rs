//! The state machine of one step at its holder.

mod action;
mod attempts;
mod backoff;
mod chunk;
mod commit;
mod input;
mod open;
mod progress;
mod reader;
mod recorder;
mod running;
mod schedule;

pub use action::{Action, Priority};
use attempts::Attempts;
use chunk::StagedSample;
use commit::Commit;
pub use input::Input;
use reader::Reader;
use recorder::Recorder;
use tamarackdock_types::{clock::Instant, fence::Epoch, weight::Version};

use crate::{
    attempt::Attempt,
    manifest::{self, Manifest},
    policy::Policy,
    request::Request,
    sample::Sample,
};

/// The state of one step at its holder. See `docs/design.md`, section 6.
///
/// Every sample is recorded in the manifest row before it is delivered, so that
/// a holder that does not know yet that it was replaced can only deliver the
/// bytes that the row names.
pub struct Step {
    attempts: Attempts,
    recorder: Recorder,
    reader: Reader,
    newest: Version,
    end: Option<End>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Complete,
    Superseded,
}

/// The manifest row as a new holder reads it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Revision of the row's last change.
    pub revision: u64,
    /// Encoded manifest.
    pub value: String,
}

impl Step {
    /// Continues a step from its manifest row, or starts it if there is no row
    /// yet. No attempt starts before the first [`Input::AttemptLimit`].
    ///
    /// # Errors
    ///
    /// Returns an error if the row is not a valid manifest of the request.
    pub fn new(
        now: Instant,
        request: Request,
        epoch: Epoch,
        newest: Version,
        policy: Box<dyn Policy>,
        row: Option<&Row>,
    ) -> Result<Self, manifest::Error> {
        let mut recorder = Recorder::new(request.clone(), epoch);
        if let Some(row) = row {
            recorder.set_recorded(now, Manifest::decode(&request, &row.value)?, row.revision);
        }
        let newest = newest.max(recorder.recorded.newest);
        recorder.expire(newest);
        let mut attempts = Attempts::new(request, epoch, policy);
        attempts.open_all(now, |slot| recorder.has_sample(slot));
        Ok(Self { attempts, recorder, reader: Reader::default(), newest, end: None })
    }

    /// Returns the number of tokens of all samples that this holder accepted.
    #[must_use]
    pub fn accepted_tokens(&self) -> u64 {
        self.attempts.accepted_tokens()
    }

    /// Returns the number of tokens that were generated twice, due to second attempts.
    #[must_use]
    pub fn duplicated_tokens(&self) -> u64 {
        self.attempts.duplicated_tokens()
    }

    /// Returns the number of running attempts.
    #[must_use]
    pub fn attempts_in_progress(&self) -> usize {
        self.attempts.running()
    }

    /// Returns the number of writes of the manifest row, as recorded in the row.
    #[must_use]
    pub fn writes(&self) -> u32 {
        self.recorder.recorded.writes
    }

    /// Handles one input and returns the actions to take, in order.
    pub fn handle(&mut self, now: Instant, input: Input) -> Vec<Action> {
        if self.end == Some(End::Superseded) {
            return Vec::new();
        }
        let mut actions = self.apply(now, input);
        if self.end.is_some() {
            return actions;
        }
        actions.extend(self.reader.serve_waiting(&self.recorder));
        actions.extend(self.reader.retry_loads(now));
        actions.extend(self.attempts.start_due(now));
        self.recorder.read_waiting = self.reader.waits_for_next_page(&self.recorder);
        actions.extend(self.recorder.start_due_requests(now, self.newest));
        if self.is_complete() {
            self.end = Some(End::Complete);
            actions.push(Action::Complete);
        }
        actions
    }

    fn is_complete(&self) -> bool {
        self.recorder.recorded.acknowledged == self.recorder.request.samples()
    }

    fn apply(&mut self, now: Instant, input: Input) -> Vec<Action> {
        match input {
            Input::Started { attempt, target } => self.attempts.set_target(attempt, target),
            Input::TokensGenerated { attempt, position, tokens, text, version } => {
                let mut actions = self.weights_changed(now, version);
                let generated = (tokens.as_slice(), text.as_str(), version);
                actions.extend(self.attempts.append_tokens(now, attempt, position, generated));
                return actions;
            }
            Input::Finished { attempt, tokens } => return self.finished(now, attempt, tokens),
            Input::AttemptFailed { attempt } => self.attempts.failed(now, attempt),
            Input::WeightsChanged(version) => return self.weights_changed(now, version),
            Input::AttemptLimit(limit) => self.attempts.set_max_running(limit),
            Input::IdleCapacity(idle) => return self.attempts.hedge(now, idle),
            Input::ObjectStored(name) => self.recorder.chunk_result(now, &name, true),
            Input::ObjectFailed(name) => self.recorder.chunk_result(now, &name, false),
            Input::ObjectRead { name, bytes } => {
                self.reader.loaded(&mut self.recorder, &name, bytes);
            }
            Input::ObjectReadFailed(name) => self.reader.load_failed(now, &name),
            Input::ManifestCommitted { operation, revision } => {
                return self.committed(now, &operation, revision);
            }
            Input::ManifestConflict { operation } => self.not_committed(now, &operation, false),
            Input::ManifestUnknown { operation } => self.not_committed(now, &operation, true),
            Input::ManifestRead { revision, value } => return self.read_back(now, revision, value),
            Input::ManifestReadFailed => self.read_back_later(now),
            Input::Read { cursor } => return self.reader.read(&self.recorder, cursor),
            Input::Acknowledged { cursor } => return self.acknowledged(cursor),
            Input::Tick => {}
        }
        Vec::new()
    }

    /// Accepts the first complete sample of a slot. A sample that is already
    /// too old is dropped, and its slot opens again.
    fn finished(&mut self, now: Instant, attempt: Attempt, tokens: u32) -> Vec<Action> {
        let mut actions = Vec::new();
        let finished = self.attempts.finished(now, attempt, tokens, &mut actions);
        if let Some((slot, sample)) = finished {
            let staged = stage(&sample);
            let is_fresh =
                |staged: &StagedSample| !self.recorder.request.is_stale(staged.oldest, self.newest);
            match staged.filter(is_fresh) {
                Some(staged) => self.recorder.add_sample(now, slot, staged),
                None => actions.extend(self.reconcile(now)),
            }
        }
        actions
    }

    fn weights_changed(&mut self, now: Instant, version: Version) -> Vec<Action> {
        if version <= self.newest {
            return Vec::new();
        }
        self.newest = version;
        self.reconcile(now)
    }

    /// Drops samples that are too old, and updates the attempts and open slots
    /// to match.
    fn reconcile(&mut self, now: Instant) -> Vec<Action> {
        self.recorder.expire(self.newest);
        let recorder = &self.recorder;
        self.attempts.reconcile(now, self.newest, |slot| recorder.has_sample(slot))
    }

    fn committed(&mut self, now: Instant, operation: &str, revision: u64) -> Vec<Action> {
        match std::mem::replace(&mut self.recorder.commit, Commit::Idle) {
            Commit::Sending { operation: sent, manifest } if sent == operation => {
                self.recorder.failures = 0;
                self.recorder.set_recorded(now, *manifest, revision);
                self.reconcile(now)
            }
            other => {
                self.recorder.commit = other;
                Vec::new()
            }
        }
    }

    fn not_committed(&mut self, now: Instant, operation: &str, unknown: bool) {
        match &self.recorder.commit {
            Commit::Sending { operation: sent, .. } if sent == operation && unknown => {
                self.read_back_later(now);
            }
            Commit::Sending { operation: sent, .. } if sent == operation => {
                self.recorder.commit = Commit::ReadBack { at: now };
            }
            _ => {}
        }
    }

    fn read_back_later(&mut self, now: Instant) {
        let waits = matches!(self.recorder.commit, Commit::Sending { .. } | Commit::Reading);
        if waits {
            self.recorder.failures += 1;
            let at = now + backoff::delay(self.recorder.failures);
            self.recorder.commit = Commit::ReadBack { at };
        }
    }

    /// Continues from the content of the row, whichever holder wrote it. If the
    /// holder is a later one, the step stops instead. A write that takes effect
    /// after this read makes the next one fail, since it changes the revision.
    fn read_back(&mut self, now: Instant, revision: u64, value: Option<String>) -> Vec<Action> {
        if !matches!(self.recorder.commit, Commit::Reading) {
            return Vec::new();
        }
        if revision < self.recorder.revision {
            self.read_back_later(now);
            return Vec::new();
        }
        let request = &self.recorder.request;
        let decoded = value
            .map_or_else(|| Ok(Manifest::new(request)), |value| Manifest::decode(request, &value));
        match decoded {
            Ok(manifest) if manifest.epoch > self.recorder.epoch => {
                self.end = Some(End::Superseded);
                let mut actions = self.attempts.cancel_all();
                actions.push(Action::Superseded);
                actions
            }
            Ok(manifest) => {
                self.recorder.failures = 0;
                self.recorder.set_recorded(now, manifest, revision);
                self.reconcile(now)
            }
            Err(error) => {
                self.read_back_later(now);
                vec![Action::Corrupt(error)]
            }
        }
    }

    fn acknowledged(&mut self, cursor: u32) -> Vec<Action> {
        if cursor > self.recorder.recorded.position() {
            return vec![Action::Reject { cursor }];
        }
        self.recorder.acknowledged = self.recorder.acknowledged.max(cursor);
        Vec::new()
    }
}

fn stage(sample: &Sample) -> Option<StagedSample> {
    let versions = || sample.spans.iter().map(|span| span.version);
    Some(StagedSample {
        body: sample.encode().ok()?,
        oldest: versions().min()?,
        newest: versions().max()?,
    })
}
