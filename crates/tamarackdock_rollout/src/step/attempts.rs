use std::collections::{BTreeMap, BTreeSet};

use tamarackdock_types::{TargetName, clock::Instant, fence::Epoch, weight::Version};

use super::{
    action::{Action, Priority},
    backoff,
    open::Open,
    progress::Progress,
    running::{Pair, Running},
};
use crate::{
    attempt::Attempt,
    policy::{Policy, Straggler, Tail},
    request::Request,
    sample::Sample,
};

/// The attempts of a step and the slots that wait for one.
pub(super) struct Attempts {
    request: Request,
    epoch: Epoch,
    policy: Box<dyn Policy>,
    limit: usize,
    next: u64,
    running: BTreeMap<Attempt, Running>,
    open: BTreeMap<u32, Open>,
    taken: u64,
    duplicated: u64,
}

impl Attempts {
    pub(super) fn new(request: Request, epoch: Epoch, policy: Box<dyn Policy>) -> Self {
        Self {
            request,
            epoch,
            policy,
            limit: 0,
            next: 0,
            running: BTreeMap::new(),
            open: BTreeMap::new(),
            taken: 0,
            duplicated: 0,
        }
    }

    pub(super) fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    pub(super) fn duplicated(&self) -> u64 {
        self.duplicated
    }

    pub(super) fn taken(&self) -> u64 {
        self.taken
    }

    pub(super) fn running(&self) -> usize {
        self.running.len()
    }

    pub(super) fn started(&mut self, attempt: Attempt, target: TargetName) {
        if let Some(running) = self.running.get_mut(&attempt) {
            running.target = Some(target);
        }
    }

    /// Appends a piece. A duplicate is ignored; after a gap or too many tokens
    /// the attempt is given up, since its tokens can't be trusted.
    pub(super) fn piece(
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
            have if end <= have => Vec::new(),
            have if position == have && end <= self.request.fields().max_tokens => {
                running.progress.append(tokens, text, version);
                Vec::new()
            }
            _ => {
                self.failed(now, attempt);
                vec![Action::Cancel { attempt }]
            }
        }
    }

    /// Ends an attempt and returns its slot and sample if it is complete.
    /// The other attempt of the slot is cancelled.
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
        self.charge(attempt);
        let running = self.running.remove(&attempt)?;
        if let Some(pair) = running.pair {
            self.running.remove(&pair.other);
            actions.push(Action::Cancel { attempt: pair.other });
        }
        self.taken += u64::from(tokens);
        let slot = self.request.slot(running.slot);
        let Progress { tokens, text, spans } = running.progress;
        Some((running.slot, Sample { slot, tokens, text, spans, attempt }))
    }

    /// Ends an attempt without a sample. Its slot opens again unless another
    /// attempt of it is in progress.
    pub(super) fn failed(&mut self, now: Instant, attempt: Attempt) {
        self.charge(attempt);
        let Some(running) = self.running.remove(&attempt) else {
            return;
        };
        let other = running.pair.and_then(|pair| self.running.get_mut(&pair.other));
        if let Some(other) = other {
            other.pair = None;
            return;
        }
        let failures = running.failures + 1;
        let full = running.progress.len() >= self.request.fields().max_tokens;
        let resumes = self.policy.resumes() && !full;
        let progress = if resumes { running.progress } else { Progress::default() };
        let not_before = now + backoff::delay(failures);
        let open = Open { not_before, progress, avoid: running.target, failures, repeated: true };
        self.open.insert(running.slot, open);
    }

    /// Counts the tokens that both attempts of a slot generated.
    fn charge(&mut self, attempt: Attempt) {
        self.duplicated += self.twice(attempt).unwrap_or_default();
    }

    fn twice(&self, attempt: Attempt) -> Option<u64> {
        let running = self.running.get(&attempt)?;
        let other = self.running.get(&running.pair?.other)?;
        Some(running.since_pair().min(other.since_pair()))
    }

    /// Cancels the attempts whose tokens so far are too old, and opens the
    /// slots that have neither a sample nor an attempt.
    pub(super) fn reconcile(
        &mut self,
        now: Instant,
        newest: Version,
        filled: impl Fn(u32) -> bool,
    ) -> Vec<Action> {
        let floor = Version(newest.0.saturating_sub(self.request.fields().staleness_bound));
        let ended: Vec<(Attempt, u32)> = self
            .running
            .iter()
            .filter(|(_, running)| filled(running.slot) || running.is_older_than(floor))
            .map(|(attempt, running)| (*attempt, running.slot))
            .collect();
        for (attempt, slot) in &ended {
            self.failed(now, *attempt);
            self.open.entry(*slot).and_modify(|open| *open = Open::again(now));
        }
        self.open.retain(|slot, _| !filled(*slot));
        for open in self.open.values_mut() {
            if open.progress.oldest().is_some_and(|oldest| oldest < floor) {
                open.progress = Progress::default();
            }
        }
        let busy: BTreeSet<u32> = self.running.values().map(|running| running.slot).collect();
        for slot in (0..self.request.samples()).filter(|slot| !filled(*slot)) {
            if !busy.contains(&slot) {
                self.open.entry(slot).or_insert_with(|| Open::again(now));
            }
        }
        ended.into_iter().map(|(attempt, _)| Action::Cancel { attempt }).collect()
    }

    pub(super) fn cancel_all(&mut self) -> Vec<Action> {
        let running = std::mem::take(&mut self.running);
        running.into_keys().map(|attempt| Action::Cancel { attempt }).collect()
    }

    /// Opens the slots of a new holder.
    pub(super) fn open_all(&mut self, now: Instant, filled: impl Fn(u32) -> bool) {
        let slots = (0..self.request.samples()).filter(|slot| !filled(*slot));
        self.open = slots.map(|slot| (slot, Open::first(now))).collect();
    }

    /// Starts attempts of open slots up to the limit, repeated ones first.
    pub(super) fn start_due(&mut self, now: Instant) -> Vec<Action> {
        let free = self.limit.saturating_sub(self.running.len());
        if free == 0 || self.open.is_empty() {
            return Vec::new();
        }
        let mut due: Vec<(bool, u32)> = self
            .open
            .iter()
            .filter(|(_, open)| open.not_before <= now)
            .map(|(slot, open)| (!open.repeated, *slot))
            .collect();
        due.sort_unstable();
        due.truncate(free);
        due.into_iter().filter_map(|(_, slot)| self.start_open(now, slot)).collect()
    }

    fn start_open(&mut self, now: Instant, slot: u32) -> Option<Action> {
        let open = self.open.remove(&slot)?;
        let priority = if open.repeated { Priority::High } else { Priority::Normal };
        let running = Running {
            slot,
            progress: open.progress,
            target: None,
            started: now,
            failures: open.failures,
            pair: None,
        };
        Some(self.start(running, priority, open.avoid).1)
    }

    fn start(
        &mut self,
        running: Running,
        priority: Priority,
        avoid: Option<TargetName>,
    ) -> (Attempt, Action) {
        let attempt = Attempt { epoch: self.epoch, number: self.next };
        self.next += 1;
        let slot = self.request.slot(running.slot);
        let prompt = self.request.fields().prompts[slot.group as usize].clone();
        let resume = running.progress.tokens.clone();
        self.running.insert(attempt, running);
        (attempt, Action::Start { attempt, slot, prompt, resume, priority, avoid })
    }

    /// Starts the second attempts that the policy asks for.
    pub(super) fn hedge(&mut self, now: Instant, idle: usize) -> Vec<Action> {
        let idle = idle.min(self.limit.saturating_sub(self.running.len()));
        if idle == 0 {
            return Vec::new();
        }
        let chosen = self.policy.hedge(&self.tail(idle));
        chosen.into_iter().take(idle).filter_map(|attempt| self.pair(now, attempt)).collect()
    }

    fn pair(&mut self, now: Instant, attempt: Attempt) -> Option<Action> {
        let first = self.running.get(&attempt).filter(|running| running.pair.is_none())?;
        let base = first.progress.len();
        let avoid = first.target.clone();
        let second = Running {
            slot: first.slot,
            progress: first.progress.clone(),
            target: None,
            started: now,
            failures: first.failures,
            pair: Some(Pair { other: attempt, base }),
        };
        let (other, action) = self.start(second, Priority::High, avoid);
        self.running.get_mut(&attempt)?.pair = Some(Pair { other, base });
        Some(action)
    }

    /// A second attempt in progress counts with all tokens that it may still
    /// generate, so that the bound on duplicated tokens holds in every case.
    fn tail(&self, idle: usize) -> Tail {
        let max = u64::from(self.request.fields().max_tokens);
        let mut duplicated = self.duplicated;
        let mut stragglers = Vec::new();
        for (attempt, running) in &self.running {
            match running.pair {
                Some(pair) if pair.other < *attempt => duplicated += max - u64::from(pair.base),
                Some(_) => {}
                None if u64::from(running.progress.len()) >= max => {}
                None => stragglers.push(Straggler {
                    attempt: *attempt,
                    started: running.started,
                    remaining: max - u64::from(running.progress.len()),
                }),
            }
        }
        Tail { idle, open: self.open.len(), taken: self.taken, duplicated, stragglers }
    }
}
