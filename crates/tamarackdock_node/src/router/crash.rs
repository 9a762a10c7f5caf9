use std::{collections::HashMap, time::Duration};

use slog::{info, warn};
use tamarackdock_route::{Key, State};
use tamarackdock_types::{TargetName, clock::Instant};
use tamarackdock_wire::client::Timeouts;

use super::{message::AttemptEnd, reported_state::ReportedState, state::Router};
use crate::peer::{self, CrashedRequest, Message};

/// An unchanged restart id proves that the target did not crash only if it is
/// reported this long after the connection broke. A crashing process can still
/// answer a poll before that, with its old id.
const RESTART_CHECK_DELAY: Duration = Duration::from_millis(150);
const BROADCAST_TIMEOUTS: Timeouts = Timeouts {
    connect: Duration::from_millis(300),
    first_byte: Duration::from_secs(1),
    between_bytes: Duration::from_secs(1),
};

/// Targets that may have crashed, with the attempts whose connections broke there.
#[derive(Debug, Default)]
pub(super) struct Suspects(HashMap<TargetName, Suspect>);

#[derive(Debug)]
struct Suspect {
    /// Fingerprint and start of each request whose connection broke.
    requests: Vec<(u64, Instant)>,
    since: Instant,
    /// Restart id before the connection broke.
    restart_id: Option<String>,
}

impl Suspects {
    /// Returns whether a target may have crashed.
    pub(super) fn contains(&self, target: &TargetName) -> bool {
        self.0.contains_key(target)
    }

    /// Returns whether the connection of a request broke on a suspected target.
    pub(super) fn contains_request(&self, fingerprint: u64) -> bool {
        self.0
            .values()
            .any(|suspect| suspect.requests.iter().any(|(known, _)| *known == fingerprint))
    }
}

impl Router {
    /// Handles a broken connection. The target gets no new calls until a load
    /// poll shows whether it crashed or only the connection was lost.
    pub(super) fn suspect_crash(&mut self, end: AttemptEnd, started: Instant, now: Instant) {
        let Some(record) = self.records.get(&end.key) else { return };
        let restart_id = self.table.get(end.key).and_then(|t| t.restart_id().map(str::to_owned));
        let name = record.target.name.clone();
        let reports = record.reports;
        let new = || Suspect { requests: Vec::new(), since: now, restart_id };
        let suspect = self.suspects.0.entry(name.clone()).or_insert_with(new);
        suspect.requests.extend(end.fingerprint.map(|fingerprint| (fingerprint, started)));
        if reports {
            self.refresh_state(end.key);
            self.poll(end.key, now);
        } else {
            // Without reports, nothing can tell a lost connection from a crash.
            self.confirm_crash(&name, None, now);
        }
    }

    /// Decides by a load report, or by its absence, whether a suspected target crashed.
    pub(super) fn confirm_crash(
        &mut self,
        target: &TargetName,
        restart_id: Option<&str>,
        now: Instant,
    ) {
        let Some(suspect) = self.suspects.0.get(target) else { return };
        let is_crashed = restart_id.is_none() || restart_id != suspect.restart_id.as_deref();
        if !is_crashed && now.since(suspect.since) < RESTART_CHECK_DELAY {
            return self.poll_again(target, now);
        }
        let Some(suspect) = self.suspects.0.remove(target) else { return };
        if is_crashed {
            info!(self.log, "target crashed"; "target" => %target);
            let entries = self.quarantine.record_crash(target, now);
            if !entries.is_empty() {
                warn!(self.log, "requests quarantined"; "count" => entries.len());
                self.broadcast(&Message::Quarantine(entries));
            }
            let requests = suspect.requests.into_iter();
            let requests = requests
                .map(|(fingerprint, started)| CrashedRequest {
                    fingerprint,
                    age: now.since(started),
                })
                .collect();
            self.broadcast(&Message::Crashed { target: target.clone(), requests });
            self.mark_crashed(target);
        } else {
            for (fingerprint, _) in suspect.requests {
                self.quarantine.finish(fingerprint, target);
            }
            if let Some(key) = self.table.key(target) {
                self.refresh_state(key);
            }
        }
        self.place_pending(now);
    }

    fn poll_again(&mut self, target: &TargetName, now: Instant) {
        let key = self.table.key(target);
        if let Some(record) = key.and_then(|key| self.records.get_mut(&key)) {
            record.next_poll = Some(now + RESTART_CHECK_DELAY);
        }
    }

    /// Applies a crash that another node saw, and polls the target.
    pub(super) fn record_remote_crash(
        &mut self,
        target: &TargetName,
        requests: &[CrashedRequest],
        now: Instant,
    ) {
        for request in requests {
            let age = u64::try_from(request.age.as_millis()).unwrap_or(u64::MAX);
            let started = Instant::from_millis(now.as_millis().saturating_sub(age));
            self.quarantine.start(request.fingerprint, target, started);
        }
        let _ = self.quarantine.record_crash(target, now);
        if let Some(key) = self.table.key(target) {
            self.poll(key, now);
        }
    }

    /// Marks a target as crashed. A target without reports keeps its state, since
    /// only the health of its connections is known. Under the round-robin policy,
    /// every target keeps its state.
    fn mark_crashed(&mut self, target: &TargetName) {
        let Some(key) = self.table.key(target) else { return };
        let reports = self.records.get(&key).is_some_and(|record| record.reports);
        if let Some(record) = self.records.get_mut(&key) {
            record.reported_state = ReportedState::Unknown;
            record.failures += 1;
        }
        if reports && !self.credits_disabled() {
            self.table.set_state(key, State::Crashed);
        }
        self.refresh_state(key);
    }

    /// Handles a call that timed out. The target gets no new calls until it
    /// answers a poll, since all of its connections may hang.
    pub(super) fn mark_unresponsive(&mut self, key: Key, now: Instant) {
        if let Some(record) = self.records.get_mut(&key) {
            record.is_unresponsive = true;
        }
        self.refresh_state(key);
        self.poll(key, now);
    }

    /// Records that no connection to a target could be made.
    pub(super) fn record_connect_failure(&mut self, key: Key, now: Instant) {
        if let Some(record) = self.records.get_mut(&key) {
            record.health.fail(now);
            record.failures += 1;
        }
        self.refresh_state(key);
    }

    /// Sends a message to all other live nodes, without retries.
    fn broadcast(&self, message: &Message) {
        for entry in self.dependencies.peers.live() {
            let client: peer::Client = self.dependencies.peer_client.clone();
            let message = message.clone();
            monoio::spawn(async move {
                let _ = client.call(entry.address, &message, BROADCAST_TIMEOUTS).await;
            });
        }
    }
}
