use std::collections::BTreeMap;

use proptest::{prop_assert, prop_assert_eq, test_runner::TestCaseError};
use rand::{Rng, SeedableRng, rngs::StdRng};
use tamarackdock_lease::{Action, Deadline, Input, Row};
use tamarackdock_platform::{
    Error,
    table::{Commit, Condition, Write},
};
use tamarackdock_types::fence::Epoch;

use crate::{node::Node, store::Store, support::DELIVERY};

const NODES: usize = 3;
/// Most machines, with those that replace others under the same name.
const MACHINES: usize = 6;
/// Time in milliseconds in which a restarted holder takes its lease. Other candidates take longer.
const RESUME_TIME: u64 = 500;
const FAULTS_END: u64 = 15_000;
const END: u64 = 30_000;
/// Milliseconds after which the platform client reports an unknown outcome.
const TIMEOUT: u64 = 800;

#[derive(Clone)]
enum Event {
    Input(Input),
    Request(Action),
    Record(Deadline, Condition),
    /// The second value is the last time at which the order may arrive.
    Send(Deadline, u64),
    Arrive {
        epoch: Epoch,
        checks: bool,
        latest: u64,
    },
    Fault,
}

pub(crate) struct World {
    random: StdRng,
    time: u64,
    queue: BTreeMap<(u64, u64), (usize, u64, Event)>,
    queued: u64,
    nodes: Vec<Node>,
    store: Store,
    holders: BTreeMap<Epoch, (usize, u64)>,
    newest: [Epoch; 2],
    counts: [u64; 5],
    exclusive: bool,
}

impl World {
    /// With `exclusive`, processes bind an address exclusively, and machines are replaced by others
    /// with the same name while they still run.
    pub(crate) fn new(seed: u64, exclusive: bool) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let address = |machine| exclusive.then(|| Node::address(machine));
        let nodes =
            (0..NODES).map(|index| Node::new(index, address(index), 0, &mut random)).collect();
        Self {
            random,
            time: 0,
            queue: BTreeMap::new(),
            queued: 0,
            nodes,
            store: Store::default(),
            holders: BTreeMap::new(),
            newest: [Epoch::default(); 2],
            counts: [0; 5],
            exclusive,
        }
    }

    /// Returns the numbers of acquisitions, orders, recorded orders, refused orders and
    /// acquisitions by a restarted holder.
    pub(crate) fn run(mut self) -> Result<[u64; 5], TestCaseError> {
        (0..NODES).for_each(|node| self.push(node, 0, Event::Input(Input::Acquire)));
        self.push(0, 100, Event::Fault);
        while let Some(((time, _), (node, run, event))) = self.queue.pop_first() {
            if time > END {
                break;
            }
            self.time = time;
            self.handle(node, run, event)?;
            prop_assert!(self.valid().count() <= 1, "two valid permits at {time} ms");
        }
        self.time = END;
        prop_assert_eq!(self.valid().count(), 1, "nobody holds the lease at the end");
        Ok(self.counts)
    }

    fn valid(&self) -> impl Iterator<Item = Epoch> {
        let permit = |node: &Node| node.lease.held()?.permit(node.local(self.time));
        self.nodes.iter().filter_map(permit)
    }

    fn push(&mut self, node: usize, delay: u64, event: Event) {
        self.queued += 1;
        let run = self.nodes[node].run;
        self.queue.insert((self.time + delay, self.queued), (node, run, event));
    }

    fn handle(&mut self, node: usize, run: u64, event: Event) -> Result<(), TestCaseError> {
        let paused = self.nodes[node].paused_until.saturating_sub(self.time);
        let ended = run != self.nodes[node].run;
        match event {
            Event::Arrive { epoch, checks, latest } => {
                prop_assert!(checks || self.time <= latest, "sent after its deadline");
                return self.arrive((node, run), epoch, checks);
            }
            Event::Request(action) => self.serve(node, action),
            Event::Fault => self.fault(),
            Event::Input(_) | Event::Send(..) | Event::Record(..) if ended => {}
            Event::Record(deadline, fence) => self.record(node, deadline, fence),
            event if paused > 0 => self.push(node, paused, event),
            Event::Input(input) => return self.step(node, input),
            Event::Send(deadline, latest) => self.send(node, deadline, latest),
        }
        Ok(())
    }

    fn step(&mut self, index: usize, input: Input) -> Result<(), TestCaseError> {
        let node = &mut self.nodes[index];
        let now = node.local(self.time);
        let actions = node.lease.step(now, input);
        if let Some(held) = node.lease.held_mut()
            && let Some(deadline) = held.record(now)
        {
            let record = Event::Record(deadline, held.fence());
            let delay = self.delay();
            self.push(index, delay, record);
        }
        for action in actions {
            self.act(index, action)?;
        }
        Ok(())
    }

    fn act(&mut self, index: usize, action: Action) -> Result<(), TestCaseError> {
        match action {
            Action::Wake(at) => {
                let delay = self.nodes[index].time(at).saturating_sub(self.time);
                self.push(index, delay, Event::Input(Input::Tick));
            }
            Action::Read { request, .. } => {
                let result = Err(Error::Unknown);
                self.request(index, action, Input::Read { request, result });
            }
            Action::Commit { request, .. } => {
                let result = Err(Error::Unknown);
                self.request(index, action, Input::Committed { request, result });
            }
            Action::Acquired(_) => {
                self.counts[0] += 1;
                self.counts[4] += u64::from(self.time < self.nodes[index].resumes_until);
            }
            Action::Lost(epoch) => {
                let rows = self.store.read(&["lease/orders/d1".into()]);
                let row = Row::decode(&rows["lease/orders/d1"].value).unwrap();
                prop_assert!(row.released || row.epoch > epoch, "gave up its own lease");
            }
        }
        Ok(())
    }

    fn request(&mut self, index: usize, action: Action, lost: Input) {
        self.push(index, TIMEOUT, Event::Input(lost));
        let delay = self.delay();
        if self.nodes[index].cut_until <= self.time && !self.fails(0.03) {
            self.push(index, delay, Event::Request(action));
        }
    }

    /// Serves a request that reached the store. While the store is down, a
    /// commit may still take effect, but no response is sent.
    fn serve(&mut self, index: usize, action: Action) {
        let down = self.store.down_until > self.time;
        let input = match action {
            Action::Read { request, keys } if !down => {
                Input::Read { request, result: Ok(self.store.read(&keys)) }
            }
            Action::Commit { request, commit } if !down || self.fails(0.5) => {
                Input::Committed { request, result: self.store.commit(&commit) }
            }
            _ => return,
        };
        let delay = self.delay();
        if !down && self.nodes[index].cut_until <= self.time && !self.fails(0.05) {
            self.push(index, delay, Event::Input(input));
        }
    }

    fn record(&mut self, index: usize, deadline: Deadline, fence: Condition) {
        let write = Write { key: "order/d1/1".into(), value: Some(deadline.epoch.to_string()) };
        let commit =
            Commit { operation: String::new(), conditions: vec![fence], writes: vec![write] };
        if self.store.down_until <= self.time && self.store.commit(&commit).is_ok() {
            let delay = self.delay();
            let latest = self.nodes[index].time(deadline.until) + DELIVERY;
            self.push(index, delay, Event::Send(deadline, latest));
        }
    }

    fn send(&mut self, index: usize, deadline: Deadline, latest: u64) {
        let node = &self.nodes[index];
        let now = node.local(self.time);
        let Some(held) = node.lease.held() else { return };
        let sends = [(held.permit_recorded(now, deadline), false), (held.permit(now), true)];
        for (epoch, checks) in sends {
            let Some(epoch) = epoch else { continue };
            // A receiver that checks epochs refuses stale orders, however late they arrive.
            let bound = if checks { 6_000 } else { DELIVERY };
            let delay = self.random.random_range(0..=bound);
            self.push(index, delay, Event::Arrive { epoch, checks, latest });
        }
    }

    fn arrive(
        &mut self,
        sender: (usize, u64),
        epoch: Epoch,
        checks: bool,
    ) -> Result<(), TestCaseError> {
        let newest = &mut self.newest[usize::from(checks)];
        let stale = epoch < *newest;
        *newest = epoch.max(*newest);
        if checks && stale {
            self.counts[3] += 1;
            return Ok(());
        }
        self.counts[if checks { 1 } else { 2 }] += 1;
        prop_assert!(!stale, "order of {epoch} after a later epoch's at {} ms", self.time);
        prop_assert_eq!(*self.holders.entry(epoch).or_insert(sender), sender, "epoch used twice");
        Ok(())
    }

    fn fault(&mut self) {
        if self.time > FAULTS_END {
            return;
        }
        let index = self.random.random_range(0..self.nodes.len());
        let until = self.time + self.random.random_range(10..5_000);
        match self.random.random_range(0..if self.exclusive { 7 } else { 6 }) {
            0 => self.nodes[index].paused_until = until,
            1 | 2 => self.nodes[index].cut_until = until,
            3 => self.store.down_until = until,
            4 => {
                let (run, held) = (self.nodes[index].run + 1, self.is_named(index));
                let Node { host, address, .. } = self.nodes[index];
                self.nodes[index] = Node::new(host, address, run, &mut self.random);
                self.nodes[index].resumes_until = if held { self.time + RESUME_TIME } else { 0 };
                self.push(index, 50, Event::Input(Input::Acquire));
            }
            6 if self.nodes.len() < MACHINES => {
                let (machine, host) = (self.nodes.len(), self.nodes[index].host);
                let address = Some(Node::address(machine));
                self.nodes.push(Node::new(host, address, 0, &mut self.random));
                self.push(machine, 50, Event::Input(Input::Acquire));
            }
            _ => {
                self.push(index, 0, Event::Input(Input::Release));
                let delay = self.random.random_range(0..1_000);
                self.push(index, delay, Event::Input(Input::Acquire));
            }
        }
        let delay = self.random.random_range(100..1_500);
        self.push(index, delay, Event::Fault);
    }

    /// Returns whether the lease row names a process as the holder.
    fn is_named(&self, index: usize) -> bool {
        let rows = self.store.read(&["lease/orders/d1".into()]);
        let row = rows.values().next().map(|row| Row::decode(&row.value).unwrap());
        let held = self.nodes[index].lease.held().map(tamarackdock_lease::HeldLease::epoch);
        row.is_some_and(|row| !row.released && Some(row.epoch) == held)
    }

    /// Returns a short delay; until the faults end, some messages get a long one.
    fn delay(&mut self) -> u64 {
        let bound = if self.fails(0.03) { 4_000 } else { [5, 60][self.random.random_range(0..2)] };
        self.random.random_range(0..bound)
    }

    fn fails(&mut self, probability: f64) -> bool {
        self.time < FAULTS_END && self.random.random_bool(probability)
    }
}
