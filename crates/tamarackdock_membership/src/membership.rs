use std::collections::BTreeMap;

use tamarackdock_types::{HostName, clock::Instant};

use crate::{
    Action, Entry, Health, Peer,
    member::Member,
    probe::{Probe, Relay},
};

/// The state machine of one node's view of the members.
#[derive(Debug)]
pub struct Membership {
    pub(crate) own: Entry,
    pub(crate) members: BTreeMap<HostName, Member>,
    pub(crate) probe: Option<Probe>,
    pub(crate) relays: BTreeMap<u64, Relay>,
    /// Members that are still to be probed in this round.
    pub(crate) unprobed: Vec<HostName>,
    pub(crate) next_probe: Instant,
    pub(crate) last_number: u64,
}

impl Membership {
    /// Creates the state of a node that knows only itself and starts to probe at `now`.
    #[must_use]
    pub fn new(own: Peer, now: Instant) -> Self {
        Self {
            own: Entry::new(own, false),
            members: BTreeMap::new(),
            probe: None,
            relays: BTreeMap::new(),
            unprobed: Vec::new(),
            next_probe: now,
            last_number: 0,
        }
    }

    /// Marks this node as leaving, which its next messages announce.
    pub const fn set_leaving(&mut self) {
        self.own.status.incarnation += 1;
        self.own.status.leaving = true;
    }

    /// Returns all members except this node.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.members.values().map(|member| &member.entry)
    }

    /// Returns the members that are not declared dead.
    pub fn live(&self) -> impl Iterator<Item = &Entry> {
        self.entries().filter(|entry| entry.status.health != Health::Dead)
    }

    /// Returns the health of a member, or `None` if the host is unknown.
    #[must_use]
    pub fn health(&self, host: &HostName) -> Option<Health> {
        Some(self.members.get(host)?.entry.status.health)
    }

    /// Chooses a member that is alive and not leaving.
    #[must_use]
    pub fn choose(&self, random: u64) -> Option<Peer> {
        let usable = |entry: &Entry| entry.status.health == Health::Alive && !entry.status.leaving;
        let mut members = rotated(&self.members, random).map(|(_, member)| &member.entry);
        members.find(|entry| usable(entry)).map(Entry::peer)
    }

    /// Records a health that this node has decided itself, after a probe or when a suspicion
    /// has expired.
    pub(crate) fn set_health(
        &mut self,
        now: Instant,
        host: &HostName,
        health: Health,
    ) -> Vec<Action> {
        let Some(member) = self.members.get_mut(host) else { return Vec::new() };
        if member.entry.status.health == health {
            return Vec::new();
        }
        member.entry.status.health = health;
        member.since = now;
        member.transmissions = 0;
        vec![Action::Changed { host: host.clone(), health }]
    }

    pub(crate) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}

/// Iterates over all members, starting at a random one.
pub(crate) fn rotated(
    members: &BTreeMap<HostName, Member>,
    random: u64,
) -> impl Iterator<Item = (&HostName, &Member)> {
    let len = members.len();
    let start = random % u64::try_from(len).unwrap_or(1).max(1);
    members.iter().cycle().skip(usize::try_from(start).unwrap_or_default()).take(len)
}
