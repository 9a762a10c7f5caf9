use std::{collections::HashSet, rc::Rc};

use slog::info;
use tamarackdock_config::deployment::{DataCentreState, Kind, Target};
use tamarackdock_route::{
    Key, Spec, State,
    credit::{Granter, Holder},
    health::Health,
};
use tamarackdock_types::{HostName, clock::Instant};

use super::{Capacity, credits::TERMS, state::Router, warmth::Warmth};
use crate::{active::Active, engine::Load};

/// What the node keeps of a target beside the routing table.
pub(super) struct Extra {
    pub(super) target: Rc<Target>,
    /// Whether the target reports its load. Plain services do not.
    pub(super) reports: bool,
    pub(super) is_in: bool,
    /// Whether it has not answered since a call ran out of time.
    pub(super) is_silent: bool,
    pub(super) health: Health,
    pub(super) granter: Granter,
    pub(super) holder: Holder,
    /// What its reports say.
    pub(super) warmth: Warmth,
    /// When it is polled next, `None` during a poll.
    pub(super) next_poll: Option<Instant>,
    pub(super) next_ask: Instant,
    pub(super) failures: u64,
}

impl Router {
    pub(super) fn configure(&mut self, active: Rc<Active>, now: Instant) {
        let mut kept = HashSet::new();
        for target in active.targets() {
            let service = active.service(target.service.as_str());
            let reports = service.is_some_and(|service| service.kind == Kind::Model);
            let key = self.table.insert(spec(target));
            kept.insert(key);
            let is_in = is_in(&active, target);
            let host = &self.parts.settings.host;
            let extra = self.extra.entry(key).or_insert_with(|| new_extra(target, host, now));
            extra.target = target.clone();
            extra.reports = reports;
            extra.is_in = is_in;
            self.refresh_state(key);
        }
        let gone: Vec<Key> = self.extra.keys().filter(|key| !kept.contains(key)).copied().collect();
        for key in gone {
            self.extra.remove(&key);
            self.table.remove(key);
        }
        self.active = active;
        self.refresh_subset(now);
        self.configure_admission(now);
        self.serve_parked(now);
    }

    /// Takes what has changed in the platform's lists.
    pub(super) fn refresh_all(&mut self) {
        let keys: Vec<Key> = self.extra.keys().copied().collect();
        for key in keys {
            self.refresh_state(key);
        }
    }

    /// Derives a target's state from what is known of it.
    pub(super) fn refresh_state(&mut self, key: Key) {
        let (Some(extra), Some(target)) = (self.extra.get(&key), self.table.get(key)) else {
            return;
        };
        let state = match target.state {
            _ if !self.parts.targets.accepts_work(&extra.target) => State::Out,
            _ if !self.assigned.has(key)
                || !extra.is_in
                || extra.is_silent
                || !extra.health.is_up() =>
            {
                State::Out
            }
            _ if self.suspects.covers(&extra.target.name) => State::Out,
            State::Crashed => State::Crashed,
            State::Warm => State::Warm,
            // Calls to plain services need no credits, and neither do those of
            // the plain policies.
            _ if !extra.reports || self.credits_are_off() => State::Warm,
            State::Out if extra.warmth.is_warm() => State::Warm,
            _ => State::Cold,
        };
        self.table.set_state(key, state);
    }

    pub(super) fn is_warm(&self, key: Key) -> bool {
        self.table.get(key).is_some_and(|target| target.state == State::Warm)
    }

    /// Sets the time of the next poll.
    pub(super) fn polled(&mut self, key: Key, next: Instant) {
        if let Some(extra) = self.extra.get_mut(&key) {
            extra.next_poll = Some(next);
        }
    }

    /// Takes the result of a connection to a target that was out.
    pub(super) fn probed(&mut self, key: Key, is_up: bool, now: Instant) {
        match self.extra.get_mut(&key) {
            Some(extra) if is_up => {
                extra.health.succeed();
                extra.is_silent = false;
            }
            _ => self.unreachable(key, now),
        }
        self.refresh_state(key);
        self.serve_parked(now);
    }

    /// Takes the answer to a load poll.
    pub(super) fn report(&mut self, key: Key, report: Option<Load>, now: Instant) {
        let Some(extra) = self.extra.get_mut(&key) else { return };
        let name = extra.target.name.clone();
        let Some(report) = report else {
            extra.warmth = Warmth::Unknown;
            self.unreachable(key, now);
            return self.confirm_crash(&name, None, now);
        };
        extra.health.succeed();
        extra.is_silent = false;
        let is_first = self.table.get(key).is_none_or(|target| target.restart_id().is_none());
        extra.warmth = extra.warmth.report(report.warm, now);
        let is_confirmed = extra.warmth.is_confirmed(now);
        let calls = u32::try_from(report.running + report.queued).unwrap_or(u32::MAX);
        let was_warm = self.is_warm(key);
        self.table.report(key, &report.restart_id, report.warm, calls);
        if was_warm && !self.is_warm(key) {
            info!(self.log, "target cold by its report"; "target" => %name);
        }
        self.confirm_crash(&name, Some(&report.restart_id), now);
        let is_cold = self.table.get(key).is_some_and(|target| target.state == State::Cold);
        if is_cold && report.warm && (is_first || is_confirmed) {
            self.table.set_state(key, State::Warm);
        }
        self.refresh_state(key);
        self.serve_parked(now);
    }

    /// Counts the places for a service's samples.
    pub(super) fn capacity(&self, service: &tamarackdock_types::ServiceName) -> Capacity {
        let role = self.batch_role(service);
        let usable = self.table.iter().filter(|(_, target)| {
            target.spec.service == *service && role.is_none_or(|role| role == target.spec.role)
        });
        usable.fold(Capacity::default(), |sum, (_, target)| Capacity {
            total: sum.total + target.limit() as usize,
            free: sum.free + target.limit().saturating_sub(target.calls()) as usize,
        })
    }
}

fn spec(target: &Target) -> Spec {
    Spec {
        name: target.name.clone(),
        service: target.service.clone(),
        data_centre: target.data_centre.clone(),
        class: target.class,
        role: target.role,
        capacity: target.capacity,
        cold_capacity: target.cold_capacity,
    }
}

fn is_in(active: &Active, target: &Target) -> bool {
    let mut centres = active.deployment.data_centres.iter();
    let centre = centres.find(|centre| centre.name == target.data_centre);
    centre.is_none_or(|centre| centre.state == DataCentreState::In)
}

fn new_extra(target: &Rc<Target>, host: &HostName, now: Instant) -> Extra {
    let incarnation = tamarackdock_route::fingerprint(host.as_str().as_bytes()) ^ now.as_millis();
    Extra {
        target: target.clone(),
        reports: true,
        is_in: true,
        is_silent: false,
        health: Health::default(),
        granter: Granter::new(target.cold_capacity, TERMS),
        holder: Holder::new(TERMS, incarnation),
        warmth: Warmth::default(),
        next_poll: Some(now),
        next_ask: now,
        failures: 0,
    }
}
