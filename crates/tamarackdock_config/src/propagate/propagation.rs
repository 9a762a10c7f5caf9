use std::{collections::BTreeMap, time::Duration};

use tamarackdock_types::{HostName, clock::Instant};

use super::{
    ANNOUNCE_FANOUT, ANNOUNCE_INTERVAL, Action, MAX_DELTAS, Message, POLL_INTERVAL, PUSH_FANOUT,
    PUSH_INTERVAL, PUSH_ROUNDS, peers::Peers,
};
use crate::version::{Delta, Snapshot, VersionNumber};

/// The state machine of one node's active configuration and of its propagation to other nodes.
///
/// The number of the active version never decreases. Reads of the store and messages to peers
/// may be lost, so all of them are repeated.
#[derive(Debug)]
pub struct Propagation {
    pub(crate) host: HostName,
    pub(crate) active: Snapshot,
    /// The deltas that this node can send to peers, at most [`MAX_DELTAS`].
    pub(crate) recent: BTreeMap<VersionNumber, Delta>,
    pub(crate) peers: Peers,
    next_poll: Instant,
    next_push: Instant,
    next_announce: Instant,
    /// Rounds in which the active version has been pushed.
    rounds: u32,
}

impl Propagation {
    /// Creates the state of a node without a configuration.
    ///
    /// The node first reads the head at `now + phase`. `phase` is a random time below
    /// [`POLL_INTERVAL`], which spreads the reads of all nodes.
    #[must_use]
    pub fn new(host: HostName, now: Instant, phase: Duration) -> Self {
        Self {
            host,
            active: Snapshot::default(),
            recent: BTreeMap::new(),
            peers: Peers::default(),
            next_poll: now + phase,
            next_push: now,
            next_announce: now,
            rounds: 0,
        }
    }

    /// Returns the name of this host.
    #[must_use]
    pub const fn host(&self) -> &HostName {
        &self.host
    }

    /// Returns the active version, which has number 0 before the first activation.
    #[must_use]
    pub const fn active(&self) -> &Snapshot {
        &self.active
    }

    /// Returns the hosts, including this one, on which `version` or a later one is known to be
    /// active.
    #[must_use]
    pub fn active_on(&self, version: VersionNumber) -> Vec<HostName> {
        let own = (self.active.number() >= version).then(|| self.host.clone());
        own.into_iter().chain(self.peers.at_least(version).cloned()).collect()
    }

    /// Replaces the list of other nodes.
    pub fn set_peers(&mut self, names: impl IntoIterator<Item = HostName>) {
        let own = self.host.clone();
        self.peers.replace(names.into_iter().filter(|name| *name != own));
    }

    /// Returns the polls, pushes and announcements that are due. `random` chooses peers.
    ///
    /// Call this about every 50 ms.
    pub fn tick(&mut self, now: Instant, random: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        if now >= self.next_poll {
            self.next_poll = now + POLL_INTERVAL;
            actions.push(Action::ReadHead);
        }
        if now >= self.next_push && self.rounds < PUSH_ROUNDS {
            self.next_push = now + PUSH_INTERVAL;
            self.rounds += 1;
            actions.extend(self.push(random));
        }
        if now >= self.next_announce {
            self.next_announce = now + ANNOUNCE_INTERVAL;
            let number = self.active.number();
            let peers = self.peers.in_turn(ANNOUNCE_FANOUT).into_iter();
            actions.extend(peers.map(|to| send(to, Message::Announce(number))));
        }
        actions
    }

    /// Activates a version that was accepted through this node, unless a later one is active.
    pub fn on_accepted(&mut self, snapshot: &Snapshot, delta: Delta) -> Vec<Action> {
        if snapshot.number() <= self.active.number() {
            return Vec::new();
        }
        self.keep_delta(delta);
        self.activate(snapshot.clone())
    }

    pub(crate) fn activate(&mut self, snapshot: Snapshot) -> Vec<Action> {
        self.active = snapshot.clone();
        self.rounds = 0;
        self.next_push = Instant::default();
        vec![Action::Activate(snapshot)]
    }

    pub(crate) fn keep_delta(&mut self, delta: Delta) {
        self.recent.insert(delta.number, delta);
        while self.recent.len() > MAX_DELTAS {
            self.recent.pop_first();
        }
    }

    /// Applies deltas in order and activates the last version reached. The returned flag
    /// is set if a delta is damaged, so that a full copy is needed.
    pub(crate) fn apply(&mut self, deltas: Vec<Delta>) -> (Vec<Action>, bool) {
        let mut reached = self.active.clone();
        let mut damaged = false;
        for delta in deltas {
            if delta.number != reached.number().next() {
                continue;
            }
            let Ok(next) = delta.apply(&reached) else {
                damaged = true;
                break;
            };
            reached = next;
            self.keep_delta(delta);
        }
        let advanced = reached.number() > self.active.number();
        (if advanced { self.activate(reached) } else { Vec::new() }, damaged)
    }

    /// Returns the message that brings a peer from the version `known` to the active one.
    pub(crate) fn catch_up_message(&self, known: VersionNumber) -> Message {
        let deltas: Vec<_> = self.recent.range(known.next()..).map(|(_, d)| d.clone()).collect();
        let complete = deltas.first().is_some_and(|first| first.number == known.next())
            && deltas.last().is_some_and(|last| last.number == self.active.number())
            && deltas.windows(2).all(|pair| pair[0].number.next() == pair[1].number);
        if complete { Message::Deltas(deltas) } else { self.full_message() }
    }

    pub(crate) fn full_message(&self) -> Message {
        let (number, checksum) = (self.active.number(), self.active.checksum());
        Message::Full { number, checksum, bytes: self.active.bytes() }
    }

    /// Pushes to peers that lack the active version. A peer that has not named its
    /// version yet gets only the number, since it may be gone and the number is small.
    fn push(&self, random: u64) -> Vec<Action> {
        let number = self.active.number();
        let behind = self.peers.behind(number, PUSH_FANOUT, random).into_iter();
        let message = |known: Option<VersionNumber>| {
            known.map_or(Message::Announce(number), |known| self.catch_up_message(known))
        };
        behind.map(|(to, known)| send(to, message(known))).collect()
    }
}

pub(crate) const fn send(to: HostName, message: Message) -> Action {
    Action::Send { to, message }
}
