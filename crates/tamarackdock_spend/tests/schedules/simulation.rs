use std::collections::{BTreeMap, BTreeSet};

use proptest::{prop_assert, prop_assert_eq, test_runner::TestCaseError};
use rand::{Rng, SeedableRng, rngs::StdRng};
use tamarackdock_lease::{Action as LeaseAction, Input as LeaseInput};
use tamarackdock_platform::{
    Error,
    order::{Class, Order},
    table::Commit,
};
use tamarackdock_spend::{Action, Input, Receiver, Record, TargetCounts};
use tamarackdock_types::fence::Epoch;

use crate::{
    node::{DELIVERY_MS, Node},
    receiver::Targets,
    store::Store,
};

const NODES: usize = 3;
const FAULTS_END_MS: u64 = 10_000;
const END_MS: u64 = 22_000;
/// Time after which the platform client reports an outcome as unknown.
const TIMEOUT_MS: u64 = 800;

#[derive(Clone)]
enum Event {
    Lease(LeaseInput),
    Orders(Input),
    Timer(usize),
    Read(u64, Vec<String>),
    Commit(u64, Commit, bool),
    List(u64, Epoch),
    /// The last value is the latest time at which the order may reach a receiver that
    /// ignores epochs.
    Order(u64, Order, u64),
    Fault,
}

pub(crate) struct Simulation {
    rng: StdRng,
    time: u64,
    queue: BTreeMap<(u64, u64), (usize, u64, Event)>,
    queued: u64,
    nodes: Vec<Node>,
    store: Store,
    targets: Targets,
    plan: TargetCounts,
    epochs: u64,
    stale: BTreeSet<(usize, u64, Epoch)>,
}

impl Simulation {
    pub(crate) fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let kinds = [Receiver::ChecksEpoch, Receiver::IgnoresEpoch];
        let kind = kinds[rng.random_range(0..2)];
        Self {
            nodes: (0..NODES).map(|index| Node::new(index, 0, kind, &mut rng)).collect(),
            rng,
            time: 0,
            queue: BTreeMap::new(),
            queued: 0,
            store: Store::default(),
            targets: Targets::new(kind),
            plan: TargetCounts::default(),
            epochs: 0,
            stale: BTreeSet::new(),
        }
    }

    /// Returns the numbers of epochs, orders, repeated orders, refused stale orders, and
    /// orders for a class that was unavailable.
    pub(crate) fn run(mut self) -> Result<[u64; 5], TestCaseError> {
        (0..NODES).for_each(|node| self.push(node, 0, Event::Lease(LeaseInput::Acquire)));
        self.set_plan();
        self.push(0, 100, Event::Fault);
        while let Some(((time, _), (node, incarnation, event))) = self.queue.pop_first() {
            if time > END_MS {
                break;
            }
            self.time = time;
            self.handle(node, incarnation, event)?;
        }
        let reached = (self.targets.count(Class::Ordinary), self.targets.count(Class::Cheap));
        prop_assert_eq!(reached, (self.plan.ordinary, self.plan.cheap));
        let [orders, repeated, stale, unavailable] = self.targets.counts;
        Ok([self.epochs, orders, repeated, stale, unavailable])
    }

    fn push(&mut self, node: usize, delay: u64, event: Event) {
        self.queued += 1;
        let incarnation = self.nodes[node].incarnation;
        self.queue.insert((self.time + delay, self.queued), (node, incarnation, event));
    }

    fn set_plan(&mut self) {
        let mut count = || self.rng.random_range(0..4);
        self.plan = TargetCounts { ordinary: count(), cheap: count() };
        let max_planned = &mut self.targets.max_planned;
        max_planned.ordinary = max_planned.ordinary.max(self.plan.ordinary);
        max_planned.cheap = max_planned.cheap.max(self.plan.cheap);
        (0..NODES).for_each(|node| self.push(node, 0, Event::Orders(Input::Plan(self.plan))));
    }

    fn handle(&mut self, node: usize, incarnation: u64, event: Event) -> Result<(), TestCaseError> {
        let paused = self.nodes[node].paused_until.saturating_sub(self.time);
        let is_former_incarnation = incarnation != self.nodes[node].incarnation;
        let is_down = self.store.down_until > self.time;
        match event {
            Event::Fault => self.inject_fault(),
            Event::Read(request, keys) if !is_down => {
                let result = Ok(self.store.read(&keys));
                self.answer(node, Event::Lease(LeaseInput::Read { request, result }));
            }
            Event::Commit(request, commit, lease) if !is_down || self.fails(0.5) => {
                let result = self.store.commit(&commit);
                if !lease && result.is_ok() {
                    self.check_record(&commit)?;
                }
                self.answer(node, committed(request, result, lease));
            }
            Event::Read(..) | Event::Commit(..) => {}
            Event::List(request, epoch) => {
                let result = Ok(self.targets.list(epoch));
                self.answer(node, Event::Orders(Input::Listed { request, result }));
            }
            Event::Order(request, order, latest) => {
                let in_time = self.time <= latest || self.targets.kind == Receiver::ChecksEpoch;
                prop_assert!(in_time, "sent after its deadline");
                let result = self.targets.order(self.time, order)?;
                self.answer(node, Event::Orders(Input::Sent { request, result }));
            }
            _ if is_former_incarnation => {}
            event if paused > 0 => self.push(node, paused, event),
            Event::Timer(timer) if self.nodes[node].timers[timer] > self.time => {}
            Event::Timer(0) => self.step_lease(node, LeaseInput::Tick)?,
            Event::Timer(_) => self.step_orders(node, Input::Tick)?,
            Event::Lease(input) => self.step_lease(node, input)?,
            Event::Orders(input) => self.step_orders(node, input)?,
        }
        Ok(())
    }

    /// Checks that a record has the epoch of the table, not an earlier one.
    fn check_record(&self, commit: &Commit) -> Result<(), TestCaseError> {
        let record: Record =
            serde_json::from_str(commit.writes[0].value.as_ref().unwrap()).unwrap();
        let rows = self.store.read(&["epoch/orders/d1".into()]);
        prop_assert_eq!(record.order.epoch.to_string(), rows["epoch/orders/d1"].value.clone());
        Ok(())
    }

    fn step_lease(&mut self, index: usize, input: LeaseInput) -> Result<(), TestCaseError> {
        let node = &mut self.nodes[index];
        for action in node.lease.step(node.local(self.time), input) {
            match action {
                LeaseAction::Wake(at) => self.wake(index, 0, self.nodes[index].time(at)),
                LeaseAction::Read { request, keys } => {
                    let timeout_event = LeaseInput::Read { request, result: Err(Error::Unknown) };
                    self.request(index, Event::Read(request, keys), Event::Lease(timeout_event));
                }
                LeaseAction::Commit { request, commit } => {
                    let timeout_event = committed(request, Err(Error::Unknown), true);
                    self.request(index, Event::Commit(request, commit, true), timeout_event);
                }
                LeaseAction::Acquired(_) => self.epochs += 1,
                LeaseAction::Lost(_) => {}
            }
        }
        self.step_orders(index, Input::Tick)
    }

    fn step_orders(&mut self, index: usize, input: Input) -> Result<(), TestCaseError> {
        let node = &mut self.nodes[index];
        let now = node.local(self.time);
        for action in node.reconciler.step(now, node.lease.held_mut(), input) {
            self.act(index, action)?;
        }
        Ok(())
    }

    fn act(&mut self, index: usize, action: Action) -> Result<(), TestCaseError> {
        let node = &self.nodes[index];
        match action {
            Action::Wake(at) => self.wake(index, 1, node.time(at)),
            Action::List { request } => {
                let epoch = node.lease.held().unwrap().epoch();
                let timeout_event = Input::Listed { request, result: Err(Error::Unknown) };
                self.request(index, Event::List(request, epoch), Event::Orders(timeout_event));
            }
            Action::Record { request, commit } => {
                let timeout_event = committed(request, Err(Error::Unknown), false);
                self.request(index, Event::Commit(request, commit, false), timeout_event);
            }
            Action::Send { request, order, deadline } => {
                let stale = self.stale.contains(&(index, node.incarnation, order.epoch));
                prop_assert!(!stale, "order under an epoch that was refused");
                let latest = node.time(deadline.until) + DELIVERY_MS;
                let kind = self.targets.kind;
                let permit = |held| kind.permit(held, node.local(self.time), deadline);
                let permitted = node.lease.held().and_then(permit).is_some();
                let result = Err(if permitted { Error::Unknown } else { Error::Unreachable });
                self.push(index, TIMEOUT_MS, Event::Orders(Input::Sent { request, result }));
                // Receivers that check epochs are safe however late an order arrives.
                let late = kind == Receiver::ChecksEpoch && self.fails(0.2);
                let delay = self.rng.random_range(0..=if late { 6_000 } else { DELIVERY_MS });
                if permitted && !self.fails(0.1) {
                    self.push(index, delay, Event::Order(request, order, latest));
                }
            }
            Action::Stale(epoch) => {
                let incarnation = node.incarnation;
                self.stale.insert((index, incarnation, epoch));
            }
            Action::Unavailable(_) => {}
        }
        Ok(())
    }

    fn wake(&mut self, index: usize, timer: usize, time: u64) {
        let delay = time.saturating_sub(self.time);
        self.nodes[index].timers[timer] = self.time + delay;
        self.push(index, delay, Event::Timer(timer));
    }

    fn request(&mut self, index: usize, event: Event, timeout_event: Event) {
        self.push(index, TIMEOUT_MS, timeout_event);
        let delay = self.delay();
        if self.nodes[index].partitioned_until <= self.time && !self.fails(0.03) {
            self.push(index, delay, event);
        }
    }

    fn answer(&mut self, index: usize, event: Event) {
        let delay = self.delay();
        let is_cut = self.store.down_until.max(self.nodes[index].partitioned_until) > self.time;
        if !is_cut && !self.fails(0.1) {
            self.push(index, delay, event);
        }
    }

    fn inject_fault(&mut self) {
        if self.time > FAULTS_END_MS {
            return;
        }
        let index = self.rng.random_range(0..NODES);
        let until = self.time + self.rng.random_range(10..4_000);
        match self.rng.random_range(0..8) {
            0 => self.nodes[index].paused_until = until,
            1 => self.nodes[index].partitioned_until = until,
            2 => self.store.down_until = until,
            3 => {
                let (incarnation, kind) = (self.nodes[index].incarnation + 1, self.targets.kind);
                self.nodes[index] = Node::new(index, incarnation, kind, &mut self.rng);
                self.push(index, 50, Event::Lease(LeaseInput::Acquire));
                self.push(index, 50, Event::Orders(Input::Plan(self.plan)));
            }
            4 => {
                self.push(index, 0, Event::Lease(LeaseInput::Release));
                let delay = self.rng.random_range(0..1_000);
                self.push(index, delay, Event::Lease(LeaseInput::Acquire));
            }
            5 => self.targets.reclaim(until),
            _ => self.set_plan(),
        }
        let delay = self.rng.random_range(100..1_500);
        self.push(index, delay, Event::Fault);
    }

    /// Returns the delay of a message. Until the faults end, some are late.
    fn delay(&mut self) -> u64 {
        let bound = if self.fails(0.03) { 4_000 } else { [5, 60][self.rng.random_range(0..2)] };
        self.rng.random_range(0..bound)
    }

    fn fails(&mut self, probability: f64) -> bool {
        self.time < FAULTS_END_MS && self.rng.random_bool(probability)
    }
}

fn committed(request: u64, result: Result<u64, Error>, lease: bool) -> Event {
    if lease {
        return Event::Lease(LeaseInput::Committed { request, result });
    }
    Event::Orders(Input::Recorded { request, result })
}
