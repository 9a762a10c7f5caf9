//! Simulated nodes and a network with cut links, lost, delayed and duplicated messages.

use std::{cmp::Reverse, collections::BTreeMap, collections::BinaryHeap};

use tamarackdock_membership::{Action, Host, Membership, Message, Peer};
use tamarackdock_types::{DataCentreName, HostName, clock::Instant};

const TICK_MS: u64 = 250;

pub(crate) fn host(node: usize) -> HostName {
    // Names have the largest size, so that the bounds in bytes hold for all names.
    HostName::new(&format!("{node:0>64}")).unwrap()
}

fn peer(node: usize) -> Peer {
    let data_centre = DataCentreName::new(&format!("{:0>64}", node % 7)).unwrap();
    Peer { host: host(node), address: "255.255.255.255:65535".parse().unwrap(), data_centre }
}

#[derive(Debug, Clone)]
pub(crate) struct Conditions {
    /// Whether messages from one node to another are lost, at index `from * nodes + to`.
    pub(crate) cuts: Vec<bool>,
    pub(crate) loss_percent: u64,
    pub(crate) delay_ms: u64,
}

impl Conditions {
    pub(crate) fn good(nodes: usize) -> Self {
        Self { cuts: vec![false; nodes * nodes], loss_percent: 0, delay_ms: 100 }
    }
}

#[derive(Debug, Clone)]
pub(crate) enum Change {
    Conditions(Conditions),
    Kill(usize),
    Restart(usize),
    Tick(usize),
    Packet { to: usize, message: Message },
}

#[derive(Debug)]
pub(crate) struct World {
    pub(crate) now: u64,
    pub(crate) nodes: Vec<Membership>,
    /// Whether sizes are measured, which takes most of the time.
    pub(crate) measured: bool,
    pub(crate) largest: usize,
    /// Number of bytes sent and received by each node.
    pub(crate) bytes: Vec<usize>,
    killed: Vec<bool>,
    conditions: Conditions,
    random_state: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    changes: BTreeMap<u64, Change>,
    next: u64,
}

fn node(index: usize, count: usize, now: u64) -> Membership {
    let now = Instant::from_millis(now);
    let mut node = Membership::new(peer(index), now);
    node.set_hosts(now, (0..count).map(|i| Host { peer: peer(i), leaving: false }).collect());
    node
}

impl World {
    pub(crate) fn new(seed: u64, count: usize, conditions: Conditions) -> Self {
        let nodes = (0..count).map(|index| node(index, count, 0)).collect();
        let (queue, changes) = (BinaryHeap::new(), BTreeMap::new());
        let (killed, bytes) = (vec![false; count], vec![0; count]);
        let (now, largest, next, random_state, measured) = (0, 0, 0, seed, false);
        let mut world = Self {
            now,
            nodes,
            measured,
            largest,
            bytes,
            killed,
            conditions,
            random_state,
            queue,
            changes,
            next,
        };
        for index in 0..count {
            let at = world.random() % 1000;
            world.at(at, Change::Tick(index));
        }
        world
    }

    pub(crate) fn at(&mut self, at: u64, change: Change) {
        self.next += 1;
        self.queue.push(Reverse((at, self.next)));
        self.changes.insert(self.next, change);
    }

    pub(crate) fn run(&mut self, end: u64, mut check: impl FnMut(&Self, usize)) {
        while let Some(Reverse((at, id))) = self.queue.pop().filter(|next| next.0.0 <= end) {
            self.now = at;
            let change = self.changes.remove(&id).expect("each event has its change");
            let ticked = if let Change::Tick(index) = change { Some(index) } else { None };
            self.step(change);
            if let Some(index) = ticked.filter(|index| !self.killed[*index]) {
                check(self, index);
            }
        }
    }

    fn step(&mut self, change: Change) {
        let now = Instant::from_millis(self.now);
        let random = self.random();
        match change {
            Change::Conditions(conditions) => self.conditions = conditions,
            Change::Kill(node) => self.killed[node] = true,
            Change::Restart(index) => {
                self.nodes[index] = node(index, self.nodes.len(), self.now);
            }
            Change::Tick(node) if !self.killed[node] => {
                self.at(self.now + TICK_MS, Change::Tick(node));
                let actions = self.nodes[node].tick(now, random);
                self.perform(node, actions);
            }
            Change::Packet { to, message } if !self.killed[to] => {
                self.bytes[to] += self.size(&message);
                let actions = self.nodes[to].receive(now, message, random);
                self.perform(to, actions);
            }
            Change::Tick(_) | Change::Packet { .. } => {}
        }
    }

    fn perform(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            let Action::Send { to, message } = action else { continue };
            let to: usize = to.host.as_str().parse().unwrap();
            let size = self.size(&message);
            self.largest = self.largest.max(size);
            self.bytes[from] += size;
            let cut = self.conditions.cuts[from * self.nodes.len() + to];
            if cut || self.random() % 100 < self.conditions.loss_percent {
                continue;
            }
            for _ in 0..=usize::from(self.random().is_multiple_of(10)) {
                let delay = 1 + self.random() % self.conditions.delay_ms;
                self.at(self.now + delay, Change::Packet { to, message: message.clone() });
            }
        }
    }

    fn size(&self, message: &Message) -> usize {
        if self.measured { serde_json::to_vec(message).unwrap().len() } else { 0 }
    }

    /// Returns the next number of the `SplitMix64` generator.
    const fn random(&mut self) -> u64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.random_state;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
}
