//! Registered targets.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use tamarackdock_types::clock::Instant;

use crate::deployment::Name;

/// A target's registration of itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Registration {
    /// Id of this run of the target.
    pub id: Name,
    /// Service to which the target belongs.
    pub service: Name,
    /// Version of its software. Several versions can serve at the same time.
    pub software_version: Name,
    /// Address that accepts its requests.
    pub address: SocketAddr,
    /// Data centre of its host.
    pub data_centre: Name,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to stop and must get no new requests.
    pub draining: bool,
    /// Time for which it stays cold, as of the registration.
    pub cold_left: Duration,
    /// Loaded weight version by model.
    pub versions: BTreeMap<Name, u64>,
    /// Start of this run in Unix milliseconds, if the target says it.
    pub started: Option<u64>,
    /// Whether it may be reclaimed at short notice.
    pub reclaimable: bool,
}

/// The targets of a service that run the same version of its software. Only they can continue
/// a text that one of them began: what two versions write does not fit together.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Software {
    /// Name of the service.
    pub service: Name,
    /// Version of the software.
    pub version: Name,
}

impl Registration {
    /// Returns the software that the target runs.
    #[must_use]
    pub fn software(&self) -> Software {
        Software { service: self.service.clone(), version: self.software_version.clone() }
    }
}

/// A registered target and the times that this node derives for it.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Its newest registration.
    pub registration: Registration,
    /// Time until which the target is cold by its registration.
    pub cold_until: Instant,
    /// Time until which the target counts as cold regardless of its registration.
    pub presumed_cold_until: Instant,
    /// Time at which the target is removed, if its row is gone and its grace period has
    /// begun.
    pub expires: Option<Instant>,
    /// Number of further writes of the entry that prove that the target still runs what the entry
    /// says. It is 0 unless the target has refused a connection, as a crashed one does.
    unproven: u8,
}

impl Target {
    /// Returns whether the target is cold and can take only few requests.
    #[must_use]
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_until || now < self.presumed_cold_until
    }

    /// Returns whether the target may have started again, with other software, since its entry was
    /// written.
    #[must_use]
    pub fn may_have_restarted(&self) -> bool {
        self.unproven > 0
    }
}

/// Writes of an entry by the same run after which a refused connection no longer means that the
/// target has crashed. The first one may have been written before.
const PROVING_WRITES: u8 = 2;

/// Grace period of a target whose row is gone after an outage of the store. Shorter
/// than the time for which a leaving target still serves requests, at least 2 s.
pub const GRACE_PERIOD: Duration = Duration::from_millis(1700);

/// Time for which the departure of a target without a row is remembered. A target that leaves
/// is gone long before.
const DEPARTURE_TTL: Duration = Duration::from_mins(10);

/// A target's own word, in an answer, that it leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Departure {
    /// Start of the run that leaves.
    started: Option<u64>,
    /// When the answer arrived.
    at: Instant,
}

/// The targets that a node knows.
#[derive(Debug, Default)]
pub struct TargetList {
    targets: BTreeMap<Name, Target>,
    /// Targets that leave by their own answers, whatever their rows say. Kept while a row is
    /// gone, as it may come back.
    departures: BTreeMap<Name, Departure>,
}

impl TargetList {
    /// Adds a target or replaces its registration, which ends a grace period. A run that has
    /// said that it leaves stays draining.
    pub fn register(&mut self, mut registration: Registration, now: Instant) {
        match self.departures.get(&registration.id) {
            Some(departure) if departure.started == registration.started => {
                registration.draining = true;
            }
            Some(_) => {
                self.departures.remove(&registration.id);
            }
            None => {}
        }
        let cold_until = now + registration.cold_left;
        let known = self.targets.get(&registration.id);
        let presumed_cold_until =
            known.map_or(Instant::default(), |known| known.presumed_cold_until);
        let unproven = known
            .filter(|known| known.registration.started == registration.started)
            .map_or(0, |known| known.unproven.saturating_sub(1));
        let target =
            Target { cold_until, presumed_cold_until, expires: None, unproven, registration };
        self.targets.insert(target.registration.id.clone(), target);
    }

    /// Records that a run of a target has said in an answer that it leaves. Returns whether
    /// that was not known.
    pub fn depart(&mut self, registration: &Registration, now: Instant) -> bool {
        let targets = &mut self.targets;
        self.departures.retain(|id, departure| {
            targets.contains_key(id) || now.since(departure.at) < DEPARTURE_TTL
        });
        let departure = Departure { started: registration.started, at: now };
        let known = self.departures.insert(registration.id.clone(), departure);
        match targets.get_mut(&registration.id) {
            Some(target) if target.registration.started == registration.started => {
                target.registration.draining = true;
            }
            _ => {}
        }
        known.is_none_or(|known| known.started != registration.started)
    }

    /// Records that a target has refused a connection, so that it may have crashed. Returns whether
    /// that was not known.
    pub fn doubt(&mut self, registration: &Registration) -> bool {
        match self.targets.get_mut(&registration.id) {
            Some(target) if target.registration.started == registration.started => {
                std::mem::replace(&mut target.unproven, PROVING_WRITES) == 0
            }
            _ => false,
        }
    }

    /// Forgets which targets have refused connections, since the paths to all of them were lost.
    pub fn forget_doubts(&mut self) {
        self.targets.values_mut().for_each(|target| target.unproven = 0);
    }

    /// Makes the targets of a data centre count as cold until a time, since they may
    /// have turned cold after they wrote their rows.
    pub fn presume_cold(&mut self, data_centre: &str, until: Instant) {
        let targets = self.targets.values_mut();
        targets
            .filter(|target| *target.registration.data_centre == *data_centre)
            .for_each(|target| target.presumed_cold_until = until);
    }

    /// Removes a target. If `lenient`, after an outage of the store, it stays in use for
    /// [`GRACE_PERIOD`], as it may soon register again.
    pub fn remove(&mut self, id: &str, lenient: bool, now: Instant) {
        match self.targets.get_mut(id) {
            Some(target) if lenient && !target.registration.draining => {
                target.expires.get_or_insert(now + GRACE_PERIOD);
            }
            _ => {
                self.targets.remove(id);
            }
        }
    }

    /// Removes targets whose grace period has ended.
    pub fn expire(&mut self, now: Instant) {
        self.targets.retain(|_, target| target.expires.is_none_or(|at| now < at));
    }

    /// Removes all targets that are not among `ids`, see [`Self::remove`].
    pub fn retain(&mut self, ids: &[&str], lenient: bool, now: Instant) {
        let gone: Vec<Name> =
            self.targets.keys().filter(|id| !ids.contains(&&***id)).cloned().collect();
        for id in gone {
            self.remove(&id, lenient, now);
        }
    }

    /// Returns a target by its id.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Target> {
        self.targets.get(id)
    }

    /// Returns all targets.
    pub fn iter(&self) -> impl Iterator<Item = &Target> {
        self.targets.values()
    }
}
