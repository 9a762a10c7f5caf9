use std::{collections::HashSet, time::Duration};

use futures_channel::oneshot;
use slog::info;
use tamarackdock_admit::Level;
use tamarackdock_config::deployment::Role;
use tamarackdock_route::{Key, State, policy::Call};
use tamarackdock_types::{
    DataCentreName, ServiceName, TargetName,
    clock::Instant,
    refusal::{Code, Refusal},
};
use tamarackdock_wire::flag::Flag;

use super::{
    Outcome, Permit, Query,
    message::AttemptEnd,
    pending::PendingAttempt,
    reported_state::ReportedState,
    state::{Router, RunningAttempt},
};

const RETRY_AFTER: Duration = Duration::from_secs(1);

impl Router {
    pub(super) fn choose(
        &mut self,
        query: Query,
        reply: oneshot::Sender<Result<Permit, Refusal>>,
        now: Instant,
    ) {
        match query.is_retry {
            false if query.level == Level::App => self.budget.record_call(),
            true if !self.budget.try_retry() => {
                let message = "too many calls fail at present, so that this one is not retried";
                let refusal = Refusal::not_run(Code::Overloaded, message);
                let _ = reply.send(Err(refusal.retry_after(RETRY_AFTER)));
                return;
            }
            _ => {}
        }
        if let Some(pending) = self.try_place(PendingAttempt { query, reply }, now) {
            self.pending.push(pending);
        }
    }

    /// Places the attempts that wait, apps first, and refuses those past their deadline.
    pub(super) fn place_pending(&mut self, now: Instant) {
        if self.pending.is_empty() {
            return;
        }
        let mut pending = std::mem::take(&mut self.pending);
        pending.sort_by_key(|pending| pending.query.level);
        // If an attempt that may use any target finds none, the ones after it of
        // the same service and level find none either. Without this check, each
        // end of a call would run the policy for each waiting attempt.
        let mut saturated = HashSet::new();
        for pending in pending {
            let service_level = (pending.query.service.clone(), pending.query.level);
            if saturated.contains(&service_level) && self.must_wait(&pending, now) {
                self.pending.push(pending);
                continue;
            }
            if let Some(pending) = self.try_place(pending, now) {
                let is_suspect = self.is_suspect(&pending.query);
                if pending.query.tried.is_empty() && !is_suspect {
                    saturated.insert(service_level);
                }
                self.pending.push(pending);
            }
        }
    }

    /// Returns whether an attempt has to wait if no target is free.
    fn must_wait(&self, pending: &PendingAttempt, now: Instant) -> bool {
        now < pending.query.deadline
            && !pending.reply.is_canceled()
            && !self.is_quarantined(&pending.query, now)
    }

    /// Places or refuses an attempt, or returns it if it has to wait.
    fn try_place(&mut self, pending: PendingAttempt, now: Instant) -> Option<PendingAttempt> {
        let query = &pending.query;
        let answer = match () {
            () if pending.reply.is_canceled() => return None,
            () if self.is_quarantined(query, now) => Err(quarantined()),
            // The next load poll shows whether the request crashed its last target.
            () if self.is_suspect(query) && now < query.deadline => {
                return Some(pending);
            }
            () => match self.place(query, now) {
                Some(permit) => Ok(permit),
                None if now >= query.deadline => Err(no_target(&query.service)),
                None if !self.has_targets(query) => Err(no_target(&query.service)),
                None => return Some(pending),
            },
        };
        // If the receiver is gone, the permit is dropped, which frees the target's capacity.
        let _ = pending.reply.send(answer);
        None
    }

    fn is_quarantined(&self, query: &Query, now: Instant) -> bool {
        let fingerprint = query.fingerprint;
        fingerprint.is_some_and(|fingerprint| self.quarantine.is_quarantined(fingerprint, now))
    }

    /// Returns whether a target on which the connection of the same request broke may have
    /// crashed.
    fn is_suspect(&self, query: &Query) -> bool {
        let fingerprint = query.fingerprint;
        fingerprint.is_some_and(|fingerprint| self.suspects.contains_request(fingerprint))
    }

    fn finish_request(&mut self, end: &AttemptEnd, target: &TargetName) {
        if let Some(fingerprint) = end.fingerprint {
            self.quarantine.finish(fingerprint, target);
        }
    }

    fn place(&mut self, query: &Query, now: Instant) -> Option<Permit> {
        let key = self.candidate(query, now)?;
        let record = self.records.get_mut(&key)?;
        let has_credit = self.table.get(key)?.state == State::Cold;
        if has_credit && !record.holder.start(now) {
            return None;
        }
        let target = record.target.clone();
        self.table.start(key);
        if let Some(fingerprint) = query.fingerprint {
            self.quarantine.start(fingerprint, &target.name, now);
        }
        let credit_expired = Flag::new();
        let attempt = self.next_id();
        self.attempts.insert(
            attempt,
            RunningAttempt {
                key,
                credit_expired: credit_expired.clone(),
                started: now,
                has_credit,
            },
        );
        let end = AttemptEnd {
            attempt,
            key,
            fingerprint: query.fingerprint,
            outcome: Outcome::Cancelled,
        };
        Some(Permit::new(target, end, self.sender.clone(), credit_expired))
    }

    /// Returns the policy's choice. For apps, it chooses among targets of all roles if no app
    /// target is free.
    fn candidate(&mut self, query: &Query, now: Instant) -> Option<Key> {
        let tried: Vec<Key> = query.tried.iter().filter_map(|name| self.table.key(name)).collect();
        let own_data_centre = self.dependencies.settings.data_centre.clone();
        let roles = match query.level {
            Level::App => vec![Some(Role::App), None],
            Level::Batch => vec![self.batch_role(&query.service)],
        };
        let failed = self.failed_data_centres(&tried);
        let attempts = roles.iter().map(|role| (*role, failed.as_slice()));
        // If no other target is free, use one of a data centre with failures.
        let attempts = attempts.chain(roles.iter().map(|role| (*role, [].as_slice())));
        for (role, tried_data_centres) in attempts {
            let call = Call {
                service: &query.service,
                role,
                prefix: query.prefix,
                own_data_centre: &own_data_centre,
                tried: &tried,
                tried_data_centres,
            };
            let chosen = self.policy.choose(&self.table, &call);
            let chosen = chosen.filter(|key| {
                self.records.get_mut(key).is_some_and(|record| record.health.try_call(now))
            });
            if chosen.is_some() {
                return chosen;
            }
        }
        None
    }

    /// Returns the data centres in which a call failed on several targets. The
    /// whole data centre may be down.
    fn failed_data_centres(&self, tried: &[Key]) -> Vec<DataCentreName> {
        let data_centres = tried.iter().filter_map(|key| self.table.get(*key));
        let data_centres: Vec<_> = data_centres.map(|target| &target.spec.data_centre).collect();
        let is_repeated = |data_centre: &&&DataCentreName| {
            data_centres.iter().filter(|other| *other == *data_centre).count() > 1
        };
        data_centres.iter().filter(is_repeated).map(|data_centre| (*data_centre).clone()).collect()
    }

    /// Returns the role of the targets that generate samples: training targets if
    /// the service has any, or else `None` for any role.
    pub(super) fn batch_role(&self, service: &ServiceName) -> Option<Role> {
        let mut targets = self.table.iter().map(|(_, target)| &target.spec);
        targets
            .any(|spec| spec.service == *service && spec.role == Role::Training)
            .then_some(Role::Training)
    }

    /// Returns whether the service has an untried target that may become free.
    fn has_targets(&self, query: &Query) -> bool {
        let mut targets = self.table.iter().map(|(_, target)| target);
        targets.any(|target| {
            target.spec.service == query.service && !query.tried.contains(&target.spec.name)
        })
    }

    /// Updates the target by the outcome of an attempt and places attempts that wait.
    pub(super) fn finish_attempt(&mut self, end: AttemptEnd, now: Instant) {
        let attempt = self.attempts.remove(&end.attempt);
        let name = self.records.get(&end.key).map(|record| record.target.name.clone());
        let (Some(attempt), Some(name)) = (attempt, name) else { return };
        let first_byte = match end.outcome {
            Outcome::Answered { first_byte } => first_byte,
            _ => None,
        };
        let was_warm = self.is_warm(end.key);
        self.table.finish(end.key, first_byte);
        if was_warm && !self.is_warm(end.key) {
            info!(self.log, "target considered cold because of its latency"; "target" => %name);
            if let Some(record) = self.records.get_mut(&end.key) {
                record.reported_state = ReportedState::Unknown;
            }
            self.poll(end.key, now);
        }
        if let Some(record) = self.records.get_mut(&end.key) {
            if attempt.has_credit {
                record.holder.finish();
            }
            match end.outcome {
                Outcome::Answered { .. } => record.health.succeed(),
                Outcome::Cancelled => record.health.cancel_probe(),
                _ => record.failures += 1,
            }
        }
        match end.outcome {
            Outcome::ConnectionLost => self.suspect_crash(end, attempt.started, now),
            Outcome::Unreachable => {
                self.finish_request(&end, &name);
                self.record_connect_failure(end.key, now);
                self.poll(end.key, now);
            }
            Outcome::TimedOut => {
                self.finish_request(&end, &name);
                self.mark_unresponsive(end.key, now);
            }
            Outcome::Answered { .. } | Outcome::Failed | Outcome::Cancelled => {
                self.finish_request(&end, &name);
            }
        }
        self.refresh_state(end.key);
        self.place_pending(now);
    }
}

fn quarantined() -> Refusal {
    let message = "the request crashed several targets and is quarantined for a minute; change it";
    Refusal::not_run(Code::Quarantined, message).retry_after(super::state::QUARANTINE_SPAN)
}

fn no_target(service: &ServiceName) -> Refusal {
    let message = format!("no target of `{service}` can take the call");
    Refusal::not_run(Code::NoTarget, message).retry_after(RETRY_AFTER)
}
