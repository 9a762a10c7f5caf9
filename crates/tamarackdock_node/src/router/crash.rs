use std::{collections::HashMap, time::Duration};

use slog::{info, warn};
use tamarackdock_route::{Key, State};
use tamarackdock_types::{TargetName, clock::Instant};
use tamarackdock_wire::client::Deadlines;

use super::{message::Done, state::Router, warmth::Warmth};
use crate::peer::{self, Crashed, Message};

/// How long after a broken connection an unchanged restart id shows that the
/// target did not crash. A crashing process can answer a last poll.
const CONFIRMATION: Duration = Duration::from_millis(150);
const NOTIFY_DEADLINES: Deadlines = Deadlines {
    connect: Duration::from_millis(300),
    first_byte: Duration::from_secs(1),
    between_bytes: Duration::from_secs(1),
};

/// Attempts that broke on targets of which it is not known yet whether they crashed.
#[derive(Debug, Default)]
pub(super) struct Suspects(HashMap<TargetName, Suspect>);

#[derive(Debug)]
struct Suspect {
    requests: Vec<(u64, Instant)>,
    since: Instant,
    restart_id: Option<String>,
}

impl Suspects {
    /// Whether it is not known yet whether a target crashed.
    pub(super) fn covers(&self, target: &TargetName) -> bool {
        self.0.contains_key(target)
    }

    /// Whether a request broke on such a target.
    pub(super) fn names(&self, fingerprint: u64) -> bool {
        self.0
            .values()
            .any(|suspect| suspect.requests.iter().any(|(known, _)| *known == fingerprint))
    }
}

impl Router {
    /// Takes a broken connection. The target gets no new calls until a load
    /// poll has told whether it crashed or only the connection was lost.
    pub(super) fn suspect(&mut self, done: Done, started: Instant, now: Instant) {
        let Some(extra) = self.extra.get(&done.key) else { return };
        let restart_id = self.table.get(done.key).and_then(|t| t.restart_id().map(str::to_owned));
        let name = extra.target.name.clone();
        let reports = extra.reports;
        let new = || Suspect { requests: Vec::new(), since: now, restart_id };
        let suspect = self.suspects.0.entry(name.clone()).or_insert_with(new);
        suspect.requests.push((done.fingerprint, started));
        if reports {
            self.refresh_state(done.key);
            self.poll(done.key, now);
        } else {
            // Without reports, a broken connection is all that can be known.
            self.confirm_crash(&name, None, now);
        }
    }

    /// Takes a report, or its absence, from a target that is suspected of a crash.
    pub(super) fn confirm_crash(
        &mut self,
        target: &TargetName,
        restart_id: Option<&str>,
        now: Instant,
    ) {
        let Some(suspect) = self.suspects.0.get(target) else { return };
        let is_crashed = restart_id.is_none() || restart_id != suspect.restart_id.as_deref();
        if !is_crashed && now.since(suspect.since) < CONFIRMATION {
            return self.poll_again(target, now);
        }
        let Some(suspect) = self.suspects.0.remove(target) else { return };
        if is_crashed {
            info!(self.log, "target crashed"; "target" => %target);
            let entries = self.quarantine.crash(target, now);
            if !entries.is_empty() {
                warn!(self.log, "requests held back"; "count" => entries.len());
                self.notify(&Message::Quarantine(entries));
            }
            let requests = suspect.requests.into_iter();
            let requests = requests
                .map(|(fingerprint, started)| Crashed { fingerprint, age: now.since(started) })
                .collect();
            self.notify(&Message::Crashed { target: target.clone(), requests });
            self.set_crashed(target);
        } else {
            for (fingerprint, _) in suspect.requests {
                self.quarantine.finish(fingerprint, target);
            }
            if let Some(key) = self.table.key(target) {
                self.refresh_state(key);
            }
        }
        self.serve_parked(now);
    }

    fn poll_again(&mut self, target: &TargetName, now: Instant) {
        let key = self.table.key(target);
        if let Some(extra) = key.and_then(|key| self.extra.get_mut(&key)) {
            extra.next_poll = Some(now + CONFIRMATION);
        }
    }

    /// Takes a crash that another node saw.
    pub(super) fn crash_elsewhere(
        &mut self,
        target: &TargetName,
        requests: &[Crashed],
        now: Instant,
    ) {
        for request in requests {
            let age = u64::try_from(request.age.as_millis()).unwrap_or(u64::MAX);
            let started = Instant::from_millis(now.as_millis().saturating_sub(age));
            self.quarantine.start(request.fingerprint, target, started);
        }
        let _ = self.quarantine.crash(target, now);
        if let Some(key) = self.table.key(target) {
            self.poll(key, now);
        }
    }

    /// A target without reports is left to its connections' health.
    fn set_crashed(&mut self, target: &TargetName) {
        let Some(key) = self.table.key(target) else { return };
        let reports = self.extra.get(&key).is_some_and(|extra| extra.reports);
        if let Some(extra) = self.extra.get_mut(&key) {
            extra.warmth = Warmth::Unknown;
            extra.failures += 1;
        }
        if reports && !self.credits_are_off() {
            self.table.set_state(key, State::Crashed);
        }
        self.refresh_state(key);
    }

    /// Takes a call without an answer in time. The target gets no new calls
    /// until it answers a poll, since all of its connections may be silent.
    pub(super) fn silent(&mut self, key: Key, now: Instant) {
        if let Some(extra) = self.extra.get_mut(&key) {
            extra.is_silent = true;
        }
        self.refresh_state(key);
        self.poll(key, now);
    }

    /// Takes a failure to connect.
    pub(super) fn unreachable(&mut self, key: Key, now: Instant) {
        if let Some(extra) = self.extra.get_mut(&key) {
            extra.health.fail(now);
            extra.failures += 1;
        }
        self.refresh_state(key);
    }

    /// Tells all other nodes.
    fn notify(&self, message: &Message) {
        for entry in self.parts.peers.live() {
            let client: peer::Client = self.parts.peer_client.clone();
            let message = message.clone();
            monoio::spawn(async move {
                let _ = client.call(entry.address, &message, NOTIFY_DEADLINES).await;
            });
        }
    }
}
