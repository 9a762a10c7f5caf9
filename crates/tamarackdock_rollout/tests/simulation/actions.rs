use bytes::Bytes;
use tamarackdock_rollout::{
    attempt::Attempt,
    manifest::Manifest,
    slot::Slot,
    step::{Action, Input},
};
use tamarackdock_types::{TargetName, weight::Version};

use super::{Event, Simulation, store};
use rand::Rng;

impl Simulation {
    /// Checks that groups were delivered in the order in which they became
    /// complete. This holds when no attempt fails and no sample expires.
    pub(crate) fn check_order(&self) {
        let mut missing = vec![self.plan.group_size; self.plan.groups];
        let mut complete = Vec::new();
        for slot in &self.finished {
            missing[slot.group as usize] -= 1;
            if missing[slot.group as usize] == 0 {
                complete.push(slot.group);
            }
        }
        assert_eq!(self.trainer.groups, complete, "groups were delivered in another order");
    }

    pub(super) fn handle_action(&mut self, index: usize, action: Action) {
        match action {
            Action::Start { attempt, slot, resume, .. } => {
                self.start(index, attempt, slot, resume.len());
            }
            Action::Cancel { attempt } => {
                self.engines.cancelled.insert(attempt);
                if let Some(holder) = self.holders[index].as_mut() {
                    holder.end_attempt(attempt);
                }
            }
            Action::StoreObject { name, bytes } => {
                let (applied, response_arrives) = (!self.fault_occurs(), !self.fault_occurs());
                if applied {
                    self.store.put(name.clone(), &bytes);
                }
                let stored = Input::ObjectStored(name.clone());
                let failed = Input::ObjectFailed(name);
                self.reply(index, if applied && response_arrives { stored } else { failed });
            }
            Action::LoadObject { name } => {
                self.counts.loads += 1;
                let bytes = self.store.objects[&name].clone();
                let read = Input::ObjectRead { name: name.clone(), bytes };
                let failed = self.fault_occurs();
                self.reply(index, if failed { Input::ObjectReadFailed(name) } else { read });
            }
            Action::CommitManifest { operation, revision, value } => {
                self.commit(index, operation, revision, value);
            }
            Action::ReadManifest => {
                let row = self.store.row();
                let revision = row.as_ref().map_or(0, |row| row.revision);
                let read = Input::ManifestRead { revision, value: row.map(|row| row.value) };
                let failed = self.fault_occurs();
                self.reply(index, if failed { Input::ManifestReadFailed } else { read });
            }
            Action::Deliver { cursor, next, samples } => self.deliver(cursor, next, &samples),
            Action::Complete => self.complete = true,
            Action::Superseded => self.holders[index] = None,
            Action::Wait { .. } => {}
            Action::Reject { cursor } => {
                let recorded = self.store.manifest(&self.request).position();
                assert!(cursor > 0 && cursor <= recorded, "cursor {cursor} was never valid");
            }
            Action::Corrupt(error) => panic!("{error}"),
        }
    }

    fn commit(&mut self, index: usize, operation: String, revision: u64, value: String) {
        self.counts.commits += 1;
        let holder = self.holders[index].as_mut().expect("the holder lives");
        // Writes that complete the step may follow sooner, since the trainer waits for them.
        let written = Manifest::decode(&self.request, &value).expect("a manifest");
        let is_complete = written.len() == self.request.samples() as usize;
        let pause = if is_complete { 50 } else { 1000 };
        let rested = holder.last_commit.is_none_or(|last| self.now - last >= pause);
        assert!(rested, "two writes of the row in {pause} ms");
        holder.last_commit = Some(self.now);
        for sample in self.store.newly_placed(&self.request, revision, &value) {
            let stale = store::is_stale(&self.request, store::oldest(&sample), holder.newest);
            assert!(!stale, "a sample was too old when it was placed");
        }
        match (self.fault_occurs(), self.fault_occurs()) {
            (false, lost) => {
                let applied = self.store.commit(&self.request, revision, value);
                let input = match applied {
                    _ if lost => Input::ManifestUnknown { operation },
                    true => Input::ManifestCommitted { operation, revision: revision + 1 },
                    false => Input::ManifestConflict { operation },
                };
                self.reply(index, input);
            }
            (true, applied_late) => {
                if applied_late {
                    let delay = self.rng.random_range(1..3000);
                    self.schedule(delay, Event::LateCommit { revision, value });
                }
                self.reply(index, Input::ManifestUnknown { operation });
            }
        }
    }

    fn start(&mut self, index: usize, attempt: Attempt, slot: Slot, resume: usize) {
        let holder = self.holders[index].as_mut().expect("the holder lives");
        self.counts.hedges += usize::from(holder.start_attempt(attempt, slot, resume));
        assert!(holder.running.len() <= self.plan.max_running, "more attempts than the limit");
        let start = u32::try_from(resume).expect("short");
        self.counts.resumes += usize::from(start > 0);
        let length = self.rng.random_range(start + 1..=self.plan.max_tokens);
        let target = TargetName::new("e1").expect("valid");
        self.reply(index, Input::Started { attempt, target });
        let version = Version::default();
        let run = Event::Generate { holder: index, attempt, position: start, length, version };
        self.schedule(10, run);
    }

    fn deliver(&mut self, cursor: u32, next: u32, samples: &[Bytes]) {
        if !samples.is_empty() {
            let page = self.store.page(&self.request, cursor);
            assert_eq!(page.as_deref(), Some(samples), "delivered before recorded");
            self.trainer.record_response(cursor, samples);
        }
        if !self.fault_occurs() {
            for sample in self.trainer.receive(cursor, next, samples) {
                self.engines.check(&sample, self.plan.max_tokens);
            }
        }
    }
}
