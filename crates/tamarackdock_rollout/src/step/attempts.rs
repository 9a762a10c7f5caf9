use std::collections::{BTreeMap, BTreeSet};

use tamarackdock_types::{TargetName, clock::Instant, fence::Epoch, weight::Version};

use super::{
    action::{Action, Priority},
    backoff,
    open::OpenSlot,
    progress::Progress,
    running::{RunningAttempt, Sibling},
};
use crate::{
    attempt::Attempt,
    policy::{HedgeState, Policy, Straggler},
    request::Request,
    sample::Sample,
};

/// The running attempts of a step and the slots that need one.
pub(super) struct Attempts {
    request: Request,
    epoch: Epoch,
    policy: Box<dyn Policy>,
    max_running: usize,
    next_number: u64,
    running: BTreeMap<Attempt, RunningAttempt>,
    open_slots: BTreeMap<u32, OpenSlot>,
    accepted_tokens: u64,
    duplicated_tokens: u64,
}

impl Attempts {
    pub(super) fn new(request: Request, epoch: Epoch, policy: Box<dyn Policy>) -> Self {
        Self {
            request,
            epoch,
            policy,
            max_running: 0,
            next_number: 0,
            running: BTreeMap::new(),
            open_slots: BTreeMap::new(),
            accepted_tokens: 0,
            duplicated_tokens: 0,
        }
    }

    pub(super) fn set_max_running(&mut self, max_running: usize) {
        self.max_running = max_running;
    }

    pub(super) fn duplicated_tokens(&self) -> u64 {
        self.duplicated_tokens
    }

    pub(super) fn accepted_tokens(&self) -> u64 {
        self.accepted_tokens
    }

    pub(super) fn running(&self) -> usize {
        self.running.len()
    }

    pub(super) fn set_target(&mut self, attempt: Attempt, target: TargetName) {
        if let Some(running) = self.running.get_mut(&attempt) {
            running.target = Some(target);
        }
    }

    /// Appends tokens that an attempt generated. Duplicates are ignored. A gap
    /// or too many tokens end the attempt, since its tokens can't be trusted.
    pub(super) fn append_tokens(
        &mut self,
        now: Instant,
        attempt: Attempt,
        position: u32,
        (tokens, text, version): (&[u32], &str, Version),
    ) -> Vec<Action> {
        let Some(running) = self.running.get_mut(&attempt) else {
            return Vec::new();
        };
        let end = position.saturating_add(u32::try_from(tokens.len()).unwrap_or(u32::MAX));
        match running.progress.len() {
            received if end <= received => Vec::new(),
            received if position == received && end <= self.request.fields().max_tokens => {
                running.progress.append(tokens, text, version);
                Vec::new()
            }
            _ => {
                self.failed(now, attempt);
                vec![Action::Cancel { attempt }]
            }
        }
    }

    /// Ends an attempt and returns its slot and sample if all its tokens have
    /// arrived. The other attempt of the slot is cancelled then.
    pub(super) fn finished(
        &mut self,
        now: Instant,
        attempt: Attempt,
        tokens: u32,
        actions: &mut Vec<Action>,
    ) -> Option<(u32, Sample)> {
        let running = self.running.get(&attempt)?;
        if running.progress.len() != tokens || tokens == 0 {
            self.failed(now, attempt);
            return None;
        }
        self.count_duplicated(attempt);
        let running = self.running.remove(&attempt)?;
        if let Some(sibling) = running.sibling {
            self.running.remove(&sibling.attempt);
            actions.push(Action::Cancel { attempt: sibling.attempt });
        }
        self.accepted_tokens += u64::from(tokens);
        let slot = self.request.slot(running.slot);
        let Progress { tokens, text, spans } = running.progress;
        Some((running.slot, Sample { slot, tokens, text, spans, attempt }))
    }

    /// Ends an attempt without a sample. Its slot opens again unless the slot
    /// has another running attempt.
    pub(super) fn failed(&mut self, now: Instant, attempt: Attempt) {
        self.count_duplicated(attempt);
        let Some(running) = self.running.remove(&attempt) else {
            return;
        };
        let other = running.sibling.and_then(|sibling| self.running.get_mut(&sibling.attempt));
        if let Some(other) = other {
            other.sibling = None;
            return;
        }
        let failures = running.failures + 1;
        let is_full = running.progress.len() >= self.request.fields().max_tokens;
        let resumes = self.policy.resumes() && !is_full;
        let progress = if resumes { running.progress } else { Progress::default() };
        let not_before = now + backoff::delay(failures);
        let open =
            OpenSlot { not_before, progress, avoid: running.target, failures, repeated: true };
        self.open_slots.insert(running.slot, open);
    }

    /// Adds the tokens that both attempts of a slot have generated to the count.
    fn count_duplicated(&mut self, attempt: Attempt) {
        self.duplicated_tokens += self.duplicated_by(attempt).unwrap_or_default();
    }

    fn duplicated_by(&self, attempt: Attempt) -> Option<u64> {
        let running = self.running.get(&attempt)?;
        let other = self.running.get(&running.sibling?.attempt)?;
        Some(running.tokens_since_second().min(other.tokens_since_second()))
    }

    /// Cancels attempts of filled slots and attempts with tokens that are too
    /// old, and opens the slots that have neither a sample nor an attempt.
    pub(super) fn reconcile(
        &mut self,
        now: Instant,
        newest: Version,
        filled: impl Fn(u32) -> bool,
    ) -> Vec<Action> {
        let oldest_allowed =
            Version(newest.0.saturating_sub(self.request.fields().staleness_bound));
        let ended: Vec<(Attempt, u32)> = self
            .running
            .iter()
            .filter(|(_, running)| {
                filled(running.slot) || running.has_tokens_older_than(oldest_allowed)
            })
            .map(|(attempt, running)| (*attempt, running.slot))
            .collect();
        for (attempt, slot) in &ended {
            self.failed(now, *attempt);
            self.open_slots.entry(*slot).and_modify(|open| *open = OpenSlot::reopened(now));
        }
        self.open_slots.retain(|slot, _| !filled(*slot));
        for open in self.open_slots.values_mut() {
            if open.progress.oldest().is_some_and(|oldest| oldest < oldest_allowed) {
                open.progress = Progress::default();
            }
        }
        let running_slots: BTreeSet<u32> =
            self.running.values().map(|running| running.slot).collect();
        for slot in (0..self.request.samples()).filter(|slot| !filled(*slot)) {
            if !running_slots.contains(&slot) {
                self.open_slots.entry(slot).or_insert_with(|| OpenSlot::reopened(now));
            }
        }
        ended.into_iter().map(|(attempt, _)| Action::Cancel { attempt }).collect()
    }

    pub(super) fn cancel_all(&mut self) -> Vec<Action> {
        let running = std::mem::take(&mut self.running);
        running.into_keys().map(|attempt| Action::Cancel { attempt }).collect()
    }

    /// Opens all slots without a sample, when a new holder starts.
    pub(super) fn open_all(&mut self, now: Instant, filled: impl Fn(u32) -> bool) {
        let slots = (0..self.request.samples()).filter(|slot| !filled(*slot));
        self.open_slots = slots.map(|slot| (slot, OpenSlot::new(now))).collect();
    }

    /// Starts attempts of open slots up to `max_running`, repeated ones first.
    pub(super) fn start_due(&mut self, now: Instant) -> Vec<Action> {
        let free = self.max_running.saturating_sub(self.running.len());
        if free == 0 || self.open_slots.is_empty() {
            return Vec::new();
        }
        let mut due: Vec<(bool, u32)> = self
            .open_slots
            .iter()
            .filter(|(_, open)| open.not_before <= now)
            .map(|(slot, open)| (!open.repeated, *slot))
            .collect();
        due.sort_unstable();
        due.truncate(free);
        due.into_iter().filter_map(|(_, slot)| self.start_open(now, slot)).collect()
    }

    fn start_open(&mut self, now: Instant, slot: u32) -> Option<Action> {
        let open = self.open_slots.remove(&slot)?;
        let priority = if open.repeated { Priority::High } else { Priority::Normal };
        let running = RunningAttempt {
            slot,
            progress: open.progress,
            target: None,
            started: now,
            failures: open.failures,
            sibling: None,
        };
        Some(self.start(running, priority, open.avoid).1)
    }

    fn start(
        &mut self,
        running: RunningAttempt,
        priority: Priority,
        avoid: Option<TargetName>,
    ) -> (Attempt, Action) {
        let attempt = Attempt { epoch: self.epoch, number: self.next_number };
        self.next_number += 1;
        let slot = self.request.slot(running.slot);
        let prompt = self.request.fields().prompts[slot.group as usize].clone();
        let resume = running.progress.tokens.clone();
        self.running.insert(attempt, running);
        (attempt, Action::Start { attempt, slot, prompt, resume, priority, avoid })
    }

    /// Starts the second attempts that the policy asks for.
    pub(super) fn hedge(&mut self, now: Instant, idle_capacity: usize) -> Vec<Action> {
        let idle_capacity = idle_capacity.min(self.max_running.saturating_sub(self.running.len()));
        if idle_capacity == 0 {
            return Vec::new();
        }
        let chosen = self.policy.hedge(&self.hedge_state(idle_capacity));
        chosen
            .into_iter()
            .take(idle_capacity)
            .filter_map(|attempt| self.start_second(now, attempt))
            .collect()
    }

    fn start_second(&mut self, now: Instant, attempt: Attempt) -> Option<Action> {
        let first = self.running.get(&attempt).filter(|running| running.sibling.is_none())?;
        let shared_tokens = first.progress.len();
        let avoid = first.target.clone();
        let second = RunningAttempt {
            slot: first.slot,
            progress: first.progress.clone(),
            target: None,
            started: now,
            failures: first.failures,
            sibling: Some(Sibling { attempt, shared_tokens }),
        };
        let (other, action) = self.start(second, Priority::High, avoid);
        self.running.get_mut(&attempt)?.sibling = Some(Sibling { attempt: other, shared_tokens });
        Some(action)
    }

    /// Returns the state on which the policy decides. A running second attempt
    /// counts with all tokens that it may still generate, so that the bound on
    /// duplicated tokens holds in every case.
    fn hedge_state(&self, idle_capacity: usize) -> HedgeState {
        let max = u64::from(self.request.fields().max_tokens);
        let mut duplicated_tokens = self.duplicated_tokens;
        let mut stragglers = Vec::new();
        for (attempt, running) in &self.running {
            match running.sibling {
                Some(sibling) if sibling.attempt < *attempt => {
                    duplicated_tokens += max - u64::from(sibling.shared_tokens);
                }
                Some(_) => {}
                None if u64::from(running.progress.len()) >= max => {}
                None => stragglers.push(Straggler {
                    attempt: *attempt,
                    started: running.started,
                    remaining: max - u64::from(running.progress.len()),
                }),
            }
        }
        HedgeState {
            idle_capacity,
            open_slots: self.open_slots.len(),
            accepted_tokens: self.accepted_tokens,
            duplicated_tokens,
            stragglers,
        }
    }
}
