use std::{collections::HashSet, rc::Rc};

use slog::info;
use tamarackdock_config::deployment::{DataCentreState, Kind, Target};
use tamarackdock_route::{
    Key, Spec, State,
    credit::{Granter, Holder},
    health::Health,
};
use tamarackdock_types::{HostName, clock::Instant};

use super::{Capacity, credits::CREDIT_TIMING, reported_state::ReportedState, state::Router};
use crate::{active::Active, engine::LoadReport};

/// What the router knows of a target beside its entry in the routing table.
pub(super) struct TargetRecord {
    pub(super) target: Rc<Target>,
    /// Whether the target reports its load. Targets of plain services do not.
    pub(super) reports: bool,
    /// Whether its data centre is in service by configuration.
    pub(super) is_in_service: bool,
    /// Whether a call timed out and the target has not answered a poll since.
    pub(super) is_unresponsive: bool,
    pub(super) health: Health,
    pub(super) granter: Granter,
    pub(super) holder: Holder,
    /// What its load reports say.
    pub(super) reported_state: ReportedState,
    /// Time of the next poll, `None` during a poll.
    pub(super) next_poll: Option<Instant>,
    pub(super) next_credit_request: Instant,
    /// Counts failed attempts, failed connections and crashes, for operators.
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
            let is_in_service = is_in_service(&active, target);
            let host = &self.dependencies.settings.host;
            let record = self.records.entry(key).or_insert_with(|| new_record(target, host, now));
            record.target = target.clone();
            record.reports = reports;
            record.is_in_service = is_in_service;
            self.refresh_state(key);
        }
        let removed: Vec<Key> =
            self.records.keys().filter(|key| !kept.contains(key)).copied().collect();
        for key in removed {
            self.records.remove(&key);
            self.table.remove(key);
        }
        self.active = active;
        self.refresh_subset(now);
        self.configure_admission(now);
        self.place_pending(now);
    }

    /// Updates the states of all targets, for example after a change in the platform's lists.
    pub(super) fn refresh_states(&mut self) {
        let keys: Vec<Key> = self.records.keys().copied().collect();
        for key in keys {
            self.refresh_state(key);
        }
    }

    /// Updates a target's routing state from all that is known of it.
    pub(super) fn refresh_state(&mut self, key: Key) {
        let (Some(record), Some(target)) = (self.records.get(&key), self.table.get(key)) else {
            return;
        };
        let state = match target.state {
            _ if !self.dependencies.targets.accepts_work(&record.target) => State::Out,
            _ if !self.assigned.contains(key)
                || !record.is_in_service
                || record.is_unresponsive
                || !record.health.is_up() =>
            {
                State::Out
            }
            _ if self.suspects.contains(&record.target.name) => State::Out,
            State::Crashed => State::Crashed,
            State::Warm => State::Warm,
            // Without load reports, or under a policy without credits, a target
            // is never cold.
            _ if !record.reports || self.credits_disabled() => State::Warm,
            State::Out if record.reported_state.is_warm() => State::Warm,
            _ => State::Cold,
        };
        self.table.set_state(key, state);
    }

    pub(super) fn is_warm(&self, key: Key) -> bool {
        self.table.get(key).is_some_and(|target| target.state == State::Warm)
    }

    /// Sets the time of the next poll.
    pub(super) fn schedule_poll(&mut self, key: Key, next: Instant) {
        if let Some(record) = self.records.get_mut(&key) {
            record.next_poll = Some(next);
        }
    }

    /// Handles the result of a connection attempt to a target without load reports.
    pub(super) fn handle_probe(&mut self, key: Key, is_up: bool, now: Instant) {
        match self.records.get_mut(&key) {
            Some(record) if is_up => {
                record.health.succeed();
                record.is_unresponsive = false;
            }
            _ => self.record_connect_failure(key, now),
        }
        self.refresh_state(key);
        self.place_pending(now);
    }

    /// Handles a load report, or `None` if a poll failed.
    pub(super) fn handle_report(&mut self, key: Key, report: Option<LoadReport>, now: Instant) {
        let Some(record) = self.records.get_mut(&key) else { return };
        let name = record.target.name.clone();
        let Some(report) = report else {
            record.reported_state = ReportedState::Unknown;
            self.record_connect_failure(key, now);
            return self.confirm_crash(&name, None, now);
        };
        record.health.succeed();
        record.is_unresponsive = false;
        let is_first = self.table.get(key).is_none_or(|target| target.restart_id().is_none());
        record.reported_state = record.reported_state.report(report.warm, now);
        let is_confirmed = record.reported_state.is_confirmed(now);
        let calls = u32::try_from(report.running + report.queued).unwrap_or(u32::MAX);
        let was_warm = self.is_warm(key);
        self.table.report(key, &report.restart_id, report.warm, calls);
        if was_warm && !self.is_warm(key) {
            info!(self.log, "target considered cold because of its report"; "target" => %name);
        }
        self.confirm_crash(&name, Some(&report.restart_id), now);
        let is_cold = self.table.get(key).is_some_and(|target| target.state == State::Cold);
        if is_cold && report.warm && (is_first || is_confirmed) {
            self.table.set_state(key, State::Warm);
        }
        self.refresh_state(key);
        self.place_pending(now);
    }

    /// Returns the capacity for a service's samples.
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

fn is_in_service(active: &Active, target: &Target) -> bool {
    let mut data_centres = active.deployment.data_centres.iter();
    let data_centre = data_centres.find(|data_centre| data_centre.name == target.data_centre);
    data_centre.is_none_or(|data_centre| data_centre.state == DataCentreState::In)
}

fn new_record(target: &Rc<Target>, host: &HostName, now: Instant) -> TargetRecord {
    let incarnation = tamarackdock_route::fingerprint(host.as_str().as_bytes()) ^ now.as_millis();
    TargetRecord {
        target: target.clone(),
        reports: true,
        is_in_service: true,
        is_unresponsive: false,
        health: Health::default(),
        granter: Granter::new(target.cold_capacity, CREDIT_TIMING),
        holder: Holder::new(CREDIT_TIMING, incarnation),
        reported_state: ReportedState::default(),
        next_poll: Some(now),
        next_credit_request: now,
        failures: 0,
    }
}
