//! Targets as they register themselves.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use tamarackdock_types::clock::Instant;

use crate::deployment::Name;

/// What a target says of itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Registration {
    /// Id of this run of the target.
    pub id: Name,
    /// Service that it serves.
    pub service: Name,
    /// Address of its interface.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub draining: bool,
    /// How much longer it is cold, as of the registration.
    pub cold_left: Duration,
    /// Version of the weights by model.
    pub versions: BTreeMap<Name, u64>,
    /// Start of this run in Unix milliseconds, where it is told.
    pub started: Option<u64>,
    /// Whether it may be reclaimed at short notice.
    pub reclaimable: bool,
}

/// A registered target with what the node knows of the registration's age.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Registration.
    pub registration: Registration,
    /// Time until which the target is cold.
    pub cold_until: Instant,
    /// Time until which the target counts as cold whatever its entry says.
    pub presumed_cold_until: Instant,
    /// Time at which the entry is dropped, after it has lapsed.
    pub lapses: Option<Instant>,
}

impl Target {
    /// Returns whether the target bears few requests.
    #[must_use]
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_until || now < self.presumed_cold_until
    }
}

/// How long a target whose entry lapsed is still used if the store was away.
/// Less than the time that a leaving target goes on serving, which is 2 s at least.
pub const LAPSE_GRACE: Duration = Duration::from_millis(1700);

/// The targets that a node knows.
#[derive(Debug, Default)]
pub struct List {
    targets: BTreeMap<Name, Target>,
}

impl List {
    /// Replaces or adds an entry.
    pub fn register(&mut self, registration: Registration, now: Instant) {
        let cold_until = now + registration.cold_left;
        let known = self.targets.get(&registration.id);
        let presumed_cold_until =
            known.map_or(Instant::default(), |known| known.presumed_cold_until);
        let target = Target { cold_until, presumed_cold_until, lapses: None, registration };
        self.targets.insert(target.registration.id.clone(), target);
    }

    /// Takes the targets of a data centre for cold until a time, since their
    /// entries may be older than a change that no entry shows yet.
    pub fn presume_cold(&mut self, data_centre: &str, until: Instant) {
        let targets = self.targets.values_mut();
        targets
            .filter(|target| *target.registration.data_centre == *data_centre)
            .for_each(|target| target.presumed_cold_until = until);
    }

    /// Drops an entry; after an outage of the store, `lenient`, it stays in use
    /// for a while, as it may be registered again at once.
    pub fn remove(&mut self, id: &str, lenient: bool, now: Instant) {
        match self.targets.get_mut(id) {
            Some(target) if lenient && !target.registration.draining => {
                target.lapses.get_or_insert(now + LAPSE_GRACE);
            }
            _ => {
                self.targets.remove(id);
            }
        }
    }

    /// Drops entries whose grace has ended.
    pub fn expire(&mut self, now: Instant) {
        self.targets.retain(|_, target| target.lapses.is_none_or(|at| now < at));
    }

    /// Removes all entries that are not among `ids`, see [`Self::remove`].
    pub fn retain(&mut self, ids: &[&str], lenient: bool, now: Instant) {
        let gone: Vec<Name> =
            self.targets.keys().filter(|id| !ids.contains(&&***id)).cloned().collect();
        for id in gone {
            self.remove(&id, lenient, now);
        }
    }

    /// Returns a target.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Target> {
        self.targets.get(id)
    }

    /// Returns all targets.
    pub fn iter(&self) -> impl Iterator<Item = &Target> {
        self.targets.values()
    }
}
