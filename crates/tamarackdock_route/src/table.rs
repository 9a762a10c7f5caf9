//! Table of the targets that a node knows.

use std::{collections::HashMap, time::Duration};

use slotmap::SlotMap;
use tamarackdock_types::TargetName;

use crate::{Key, Load, Spec, State, Target, hash::fingerprint, latency::Latency};

/// Targets by key and name.
#[derive(Debug, Clone, Default)]
pub struct Table {
    targets: SlotMap<Key, Target>,
    keys: HashMap<TargetName, Key>,
}

impl Table {
    /// Adds a target, which counts as cold until it is known to be warm. A target
    /// that is already in the table keeps its key and measurements and takes the
    /// new configuration.
    pub fn insert(&mut self, spec: Spec) -> Key {
        if let Some(key) = self.keys.get(&spec.name) {
            if let Some(target) = self.targets.get_mut(*key) {
                target.spec = spec;
            }
            return *key;
        }
        let name = spec.name.clone();
        let target = Target {
            hash: fingerprint(name.as_str().as_bytes()),
            spec,
            state: State::Cold,
            load: Load::default(),
            latency: Latency::default(),
            credits: 0,
            restart_id: None,
        };
        let key = self.targets.insert(target);
        self.keys.insert(name, key);
        key
    }

    /// Removes a target and returns it.
    pub fn remove(&mut self, key: Key) -> Option<Target> {
        let target = self.targets.remove(key)?;
        self.keys.remove(&target.spec.name);
        Some(target)
    }

    /// Returns a target, or `None` if it was removed.
    #[must_use]
    pub fn get(&self, key: Key) -> Option<&Target> {
        self.targets.get(key)
    }

    /// Returns the key of the target with this name.
    #[must_use]
    pub fn key(&self, name: &TargetName) -> Option<Key> {
        self.keys.get(name).copied()
    }

    /// Returns all targets.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Target)> {
        self.targets.iter()
    }

    /// Changes a target's state. A target that becomes cold starts without
    /// credits and latency samples.
    pub fn set_state(&mut self, key: Key, state: State) {
        if let Some(target) = self.targets.get_mut(key) {
            if state == State::Cold && target.state != State::Cold {
                target.credits = 0;
                target.latency = Latency::default();
            }
            target.state = state;
        }
    }

    /// Sets the credits that the node holds for a cold target.
    pub fn set_credits(&mut self, key: Key, credits: u32) {
        if let Some(target) = self.targets.get_mut(key) {
            target.credits = credits;
        }
    }

    /// Counts a call that is sent to a target.
    pub fn start(&mut self, key: Key) {
        if let Some(target) = self.targets.get_mut(key) {
            target.load.start();
        }
    }

    /// Counts the end of a call. `first_byte` is the latency of a call that succeeded.
    pub fn finish(&mut self, key: Key, first_byte: Option<Duration>) {
        let Some(target) = self.targets.get_mut(key) else { return };
        target.load.finish();
        let has_stepped = first_byte.is_some_and(|sample| target.latency.observe(sample));
        if has_stepped && target.state == State::Warm {
            self.set_state(key, State::Cold);
        }
    }

    /// Records a lagging report of a target. A warm target becomes cold at once
    /// if its restart id has changed or it reports itself cold, and a crashed
    /// target becomes cold once its restart id has changed.
    pub fn report(&mut self, key: Key, restart_id: &str, is_warm: bool, calls: u32) {
        let Some(target) = self.targets.get_mut(key) else { return };
        target.load.report(calls);
        let previous = target.restart_id.replace(restart_id.into());
        let has_restarted = previous.is_some_and(|previous| previous != restart_id);
        let is_cold = has_restarted || !is_warm;
        match target.state {
            State::Warm if is_cold => self.set_state(key, State::Cold),
            State::Crashed if has_restarted => self.set_state(key, State::Cold),
            _ => {}
        }
    }
}
