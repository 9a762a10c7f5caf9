//! A simulated deployment: nodes, a network and a store, driven by events.

pub(crate) mod network;
pub(crate) mod node;
pub(crate) mod store;

use std::{cmp::Reverse, collections::BTreeMap, collections::BinaryHeap, time::Duration};

use tamarackdock_config::{
    accept::{Accepted, Event, Rejection},
    version::{Snapshot, VersionNumber},
};
use tamarackdock_types::clock::Instant;

use network::{Conditions, Network, StoreAccess};
use node::{NODES, Node, Packet};
use store::{Request, Response, Store};

const TICK_MS: u64 = 100;
const STORE_TIMEOUT_MS: u64 = 500;
const SUBMISSION_MS: u64 = 6000;
/// The required bound in milliseconds for activations and withdrawals.
pub(crate) const BOUND_MS: u64 = 3000;

pub(crate) type SubmissionResult = Result<Accepted, Rejection>;

#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Step {
    Tick(usize),
    Packet { to: usize, from: usize, packet: Packet },
    Arrive { node: usize, run: u32, id: u64, sent: u64, request: Request, answered: bool },
    Reply { node: usize, run: u32, id: u64, sent: u64, response: Response },
    Timeout { node: usize, run: u32, id: u64 },
    Wake { node: usize, run: u32, id: u64 },
    Submit { node: usize, operation: u64 },
    Change(usize),
    Liveness(usize),
    Restart(usize),
}

#[derive(Debug)]
pub(crate) struct World {
    pub(crate) now: u64,
    pub(crate) nodes: Vec<Node>,
    pub(crate) store: Store,
    pub(crate) network: Network,
    pub(crate) results: BTreeMap<u64, Vec<SubmissionResult>>,
    /// Base version and configuration of each operation, the same if it is submitted again.
    pub(crate) drafts: BTreeMap<u64, (Snapshot, tamarackdock_config::Deployment)>,
    phases: Vec<Conditions>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    steps: BTreeMap<u64, Step>,
    next: u64,
}

impl World {
    pub(crate) fn new(seed: u64, first: Conditions) -> Self {
        let mut network = Network::new(seed, first);
        let nodes = (0..NODES).map(|index| Node::new(index, 0, 0, network.random())).collect();
        let (now, next, store) = (0, 0, Store::default());
        let (results, drafts, phases) = (BTreeMap::new(), BTreeMap::new(), Vec::new());
        let (queue, steps) = (BinaryHeap::new(), BTreeMap::new());
        let mut world =
            Self { now, nodes, store, network, results, drafts, phases, queue, steps, next };
        for index in 0..NODES {
            let at = world.network.below(TICK_MS);
            world.at(at, Step::Tick(index));
            world.at(0, Step::Liveness(index));
        }
        world
    }

    pub(crate) fn at(&mut self, at: u64, step: Step) {
        self.next += 1;
        self.queue.push(Reverse((at, self.next)));
        self.steps.insert(self.next, step);
    }

    pub(crate) fn change_at(&mut self, at: u64, conditions: Conditions) {
        self.phases.push(conditions);
        self.at(at, Step::Change(self.phases.len() - 1));
    }

    /// Runs the simulation until `end` and calls `check` after each tick of a node.
    pub(crate) fn run(&mut self, end: u64, mut check: impl FnMut(&Self, usize)) {
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            let step = self.steps.remove(&id).expect("each event has its step");
            let ticked = if let Step::Tick(index) = step { Some(index) } else { None };
            self.step(step);
            if let Some(index) = ticked {
                check(self, index);
            }
        }
        self.now = end;
    }

    fn step(&mut self, step: Step) {
        let now = self.instant();
        match step {
            Step::Tick(node) => {
                self.at(self.now + TICK_MS, Step::Tick(node));
                let random = self.network.random();
                let actions = self.nodes[node].tick(now, random);
                self.perform(node, actions);
            }
            Step::Packet { to, from, packet } => {
                let actions = self.nodes[to].receive(now, from, packet);
                self.perform(to, actions);
            }
            Step::Arrive { node, run, id, sent, request, answered } => {
                let response = self.store.handle(self.now, request);
                let delay = self.network.store_delay(node);
                if answered {
                    self.at(self.now + delay, Step::Reply { node, run, id, sent, response });
                }
            }
            Step::Reply { node, run, id, sent, response } if self.nodes[node].run == run => {
                let random = self.network.random();
                let sent = Instant::from_millis(sent);
                let actions = self.nodes[node].reply(now, id, sent, response, random);
                self.perform(node, actions);
            }
            Step::Timeout { node, run, id } if self.nodes[node].run == run => {
                let actions = self.nodes[node].resume(now, id, Event::Lost);
                self.perform(node, actions);
            }
            Step::Wake { node, run, id } if self.nodes[node].run == run => {
                let actions = self.nodes[node].resume(now, id, Event::Waited);
                self.perform(node, actions);
            }
            Step::Submit { node, operation } => self.submit(node, operation),
            Step::Change(phase) => self.change(phase),
            Step::Liveness(node) => {
                let live = self.network.live(node);
                self.nodes[node].set_live(now, &live);
            }
            Step::Restart(node) if !self.nodes[node].may_commit(now) => {
                let random = self.network.random();
                let run = self.nodes[node].run + 1;
                self.nodes[node] = Node::new(node, run, self.now, random);
                self.at(self.now, Step::Liveness(node));
            }
            _ => {}
        }
    }

    fn change(&mut self, phase: usize) {
        self.network.conditions = self.phases[phase].clone();
        // Membership takes a second to detect unreachable hosts.
        (0..NODES).for_each(|node| self.at(self.now + 1000, Step::Liveness(node)));
    }

    fn submit(&mut self, node: usize, operation: u64) {
        if self.nodes[node].submission.is_some() {
            return;
        }
        let active = self.nodes[node].propagation.active().clone();
        let draft = self.drafts.entry(operation);
        let (base, deployment) =
            draft.or_insert_with(|| (active, store::deployment(operation))).clone();
        let deadline = self.instant() + Duration::from_millis(SUBMISSION_MS);
        let action = self.nodes[node].submit(operation, base, deployment, deadline);
        self.perform(node, vec![action]);
    }

    fn perform(&mut self, node: usize, actions: Vec<node::Output>) {
        let run = self.nodes[node].run;
        for action in actions {
            match action {
                node::Output::Send { to, packet } => {
                    for delay in self.network.deliver(node, to) {
                        let packet = packet.clone();
                        self.at(self.now + delay, Step::Packet { to, from: node, packet });
                    }
                }
                node::Output::Store { id, request } => self.request(node, id, request),
                node::Output::Wait { id, span } => {
                    let millis = u64::try_from(span.as_millis()).unwrap();
                    self.at(self.now + millis, Step::Wake { node, run, id });
                }
                node::Output::Done { operation, result } => {
                    self.results.entry(operation).or_default().push(result);
                }
            }
        }
    }

    fn request(&mut self, node: usize, id: u64, request: Request) {
        let (run, sent) = (self.nodes[node].run, self.now);
        let store_access = self.network.store_access(node);
        let delay = self.network.store_delay(node);
        // A request whose response is lost may take effect long after the sender stopped waiting.
        let late =
            if store_access == StoreAccess::ResponseLost { self.network.below(3000) } else { 0 };
        if store_access != StoreAccess::Down {
            let answered = store_access == StoreAccess::Up && 2 * delay < STORE_TIMEOUT_MS;
            let arrive = Step::Arrive { node, run, id, sent, request, answered };
            self.at(self.now + delay + late, arrive);
        }
        self.at(self.now + STORE_TIMEOUT_MS, Step::Timeout { node, run, id });
    }

    pub(crate) const fn instant(&self) -> Instant {
        Instant::from_millis(self.now)
    }

    /// Returns the time at which the version after `number` was accepted, if there is one.
    pub(crate) fn replaced_at(&self, number: VersionNumber) -> Option<u64> {
        let index = usize::try_from(number.0).unwrap();
        self.store.history.get(index).map(|commit| commit.at)
    }
}
