use std::{collections::HashSet, time::Duration};

use futures_channel::oneshot;
use slog::info;
use tamarackdock_admit::Level;
use tamarackdock_config::deployment::Role;
use tamarackdock_route::{Key, State, policy::Call};
use tamarackdock_types::{
    DataCentreName, ServiceName,
    clock::Instant,
    refusal::{Code, Refusal},
};
use tamarackdock_wire::flag::Flag;

use super::{
    Outcome, Permit, Query,
    message::Done,
    parked::Parked,
    state::{Router, Running},
    warmth::Warmth,
};

const RETRY_HINT: Duration = Duration::from_secs(1);

impl Router {
    pub(super) fn choose(
        &mut self,
        query: Query,
        reply: oneshot::Sender<Result<Permit, Refusal>>,
        now: Instant,
    ) {
        match query.is_retry {
            false if query.level == Level::App => self.budget.call(),
            true if !self.budget.try_retry() => {
                let message = "too many calls fail at present, so that this one is not retried";
                let refusal = Refusal::not_run(Code::Overloaded, message);
                let _ = reply.send(Err(refusal.retry_after(RETRY_HINT)));
                return;
            }
            _ => {}
        }
        if let Some(parked) = self.try_place(Parked { query, reply }, now) {
            self.parked.push(parked);
        }
    }

    /// Places the attempts that wait, apps first, and refuses those whose time is over.
    pub(super) fn serve_parked(&mut self, now: Instant) {
        if self.parked.is_empty() {
            return;
        }
        let mut parked = std::mem::take(&mut self.parked);
        parked.sort_by_key(|parked| parked.query.level);
        // Where an attempt that may use any target finds none, those behind it
        // find none either. Without this, each end of a call would cost a
        // choice for each waiting attempt.
        let mut full = HashSet::new();
        for parked in parked {
            let lane = (parked.query.service.clone(), parked.query.level);
            if full.contains(&lane) && self.must_wait(&parked, now) {
                self.parked.push(parked);
                continue;
            }
            if let Some(parked) = self.try_place(parked, now) {
                let is_suspect = self.suspects.names(parked.query.fingerprint);
                if parked.query.tried.is_empty() && !is_suspect {
                    full.insert(lane);
                }
                self.parked.push(parked);
            }
        }
    }

    /// Whether an attempt can only wait while no target is free.
    fn must_wait(&self, parked: &Parked, now: Instant) -> bool {
        now < parked.query.deadline
            && !parked.reply.is_canceled()
            && !self.quarantine.holds(parked.query.fingerprint, now)
    }

    /// Answers an attempt, or returns it if it has to wait.
    fn try_place(&mut self, parked: Parked, now: Instant) -> Option<Parked> {
        let query = &parked.query;
        let answer = match () {
            () if parked.reply.is_canceled() => return None,
            () if self.quarantine.holds(query.fingerprint, now) => Err(held_back()),
            // Whether the request crashed its last target is known soon.
            () if self.suspects.names(query.fingerprint) && now < query.deadline => {
                return Some(parked);
            }
            () => match self.place(query, now) {
                Some(permit) => Ok(permit),
                None if now >= query.deadline => Err(no_target(&query.service)),
                None if !self.has_targets(query) => Err(no_target(&query.service)),
                None => return Some(parked),
            },
        };
        // A permit whose receiver has left is dropped, which frees its place.
        let _ = parked.reply.send(answer);
        None
    }

    fn place(&mut self, query: &Query, now: Instant) -> Option<Permit> {
        let key = self.candidate(query, now)?;
        let extra = self.extra.get_mut(&key)?;
        let has_credit = self.table.get(key)?.state == State::Cold;
        if has_credit && !extra.holder.start(now) {
            return None;
        }
        let target = extra.target.clone();
        self.table.start(key);
        self.quarantine.start(query.fingerprint, &target.name, now);
        let withdrawn = Flag::new();
        let attempt = self.next_id();
        self.attempts.insert(
            attempt,
            Running { key, withdrawn: withdrawn.clone(), started: now, has_credit },
        );
        let done =
            Done { attempt, key, fingerprint: query.fingerprint, outcome: Outcome::Cancelled };
        Some(Permit::new(target, done, self.sender.clone(), withdrawn))
    }

    /// Returns the policy's choice, among all targets where none of the wanted role is free.
    fn candidate(&mut self, query: &Query, now: Instant) -> Option<Key> {
        let tried: Vec<Key> = query.tried.iter().filter_map(|name| self.table.key(name)).collect();
        let home = self.parts.settings.data_centre.clone();
        let roles = match query.level {
            Level::App => vec![Some(Role::App), None],
            Level::Batch => vec![self.batch_role(&query.service)],
        };
        let failed = self.failed_data_centres(&tried);
        let attempts = roles.iter().map(|role| (*role, failed.as_slice()));
        // Rather a target of a data centre with failures than none.
        let attempts = attempts.chain(roles.iter().map(|role| (*role, [].as_slice())));
        for (role, tried_data_centres) in attempts {
            let call = Call {
                service: &query.service,
                role,
                prefix: query.prefix,
                home: &home,
                tried: &tried,
                tried_data_centres,
            };
            let chosen = self.policy.choose(&self.table, &call);
            let chosen = chosen.filter(|key| {
                self.extra.get_mut(key).is_some_and(|extra| extra.health.try_call(now))
            });
            if chosen.is_some() {
                return chosen;
            }
        }
        None
    }

    /// Returns the data centres in which a call failed on several targets, so
    /// that the whole data centre may have failed.
    fn failed_data_centres(&self, tried: &[Key]) -> Vec<DataCentreName> {
        let centres = tried.iter().filter_map(|key| self.table.get(*key));
        let centres: Vec<_> = centres.map(|target| &target.spec.data_centre).collect();
        let is_repeated = |centre: &&&DataCentreName| {
            centres.iter().filter(|other| *other == *centre).count() > 1
        };
        centres.iter().filter(is_repeated).map(|centre| (*centre).clone()).collect()
    }

    /// Returns the role of the targets that make samples: training targets, if
    /// the service has any.
    pub(super) fn batch_role(&self, service: &ServiceName) -> Option<Role> {
        let mut targets = self.table.iter().map(|(_, target)| &target.spec);
        targets
            .any(|spec| spec.service == *service && spec.role == Role::Training)
            .then_some(Role::Training)
    }

    /// Whether waiting makes sense: an untried target may become free.
    fn has_targets(&self, query: &Query) -> bool {
        let mut targets = self.table.iter().map(|(_, target)| target);
        targets.any(|target| {
            target.spec.service == query.service && !query.tried.contains(&target.spec.name)
        })
    }

    /// Takes the end of an attempt.
    pub(super) fn done(&mut self, done: Done, now: Instant) {
        let attempt = self.attempts.remove(&done.attempt);
        let name = self.extra.get(&done.key).map(|extra| extra.target.name.clone());
        let (Some(attempt), Some(name)) = (attempt, name) else { return };
        let first_byte = match done.outcome {
            Outcome::Answered { first_byte } => first_byte,
            _ => None,
        };
        let was_warm = self.is_warm(done.key);
        self.table.finish(done.key, first_byte);
        if was_warm && !self.is_warm(done.key) {
            info!(self.log, "target cold by its latency"; "target" => %name);
            if let Some(extra) = self.extra.get_mut(&done.key) {
                extra.warmth = Warmth::Unknown;
            }
            self.poll(done.key, now);
        }
        if let Some(extra) = self.extra.get_mut(&done.key) {
            if attempt.has_credit {
                extra.holder.finish();
            }
            match done.outcome {
                Outcome::Answered { .. } => extra.health.succeed(),
                Outcome::Cancelled => extra.health.abandon(),
                _ => extra.failures += 1,
            }
        }
        match done.outcome {
            Outcome::Broken => self.suspect(done, attempt.started, now),
            Outcome::Unreachable => {
                self.quarantine.finish(done.fingerprint, &name);
                self.unreachable(done.key, now);
                self.poll(done.key, now);
            }
            Outcome::Silent => {
                self.quarantine.finish(done.fingerprint, &name);
                self.silent(done.key, now);
            }
            Outcome::Answered { .. } | Outcome::Failed | Outcome::Cancelled => {
                self.quarantine.finish(done.fingerprint, &name);
            }
        }
        self.refresh_state(done.key);
        self.serve_parked(now);
    }
}

fn held_back() -> Refusal {
    let message = "the request crashed several targets and is held back for a minute; change it";
    Refusal::not_run(Code::Quarantined, message).retry_after(super::state::QUARANTINE_SPAN)
}

fn no_target(service: &ServiceName) -> Refusal {
    let message = format!("no target of `{service}` can take the call");
    Refusal::not_run(Code::NoTarget, message).retry_after(RETRY_HINT)
}
