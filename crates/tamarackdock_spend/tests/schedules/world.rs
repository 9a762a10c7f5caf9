use std::collections::{BTreeMap, BTreeSet};

use proptest::{prop_assert, prop_assert_eq, test_runner::TestCaseError};
use rand::{Rng, SeedableRng, rngs::StdRng};
use tamarackdock_lease::{Action as LeaseAction, Input as LeaseInput};
use tamarackdock_platform::{
    Error,
    order::{Class, Order},
    table::Commit,
};
use tamarackdock_spend::{Action, Input, Receiver, Record, Wanted};
use tamarackdock_types::fence::Epoch;

use crate::{
    node::{DELIVERY, Node},
    receiver::Targets,
    store::Store,
};

const NODES: usize = 3;
const FAULTS_END: u64 = 10_000;
const END: u64 = 22_000;
/// The platform client reports the outcome as unknown after this time.
const TIMEOUT: u64 = 800;

#[derive(Clone)]
enum Event {
    Lease(LeaseInput),
    Orders(Input),
    Timer(usize),
    Read(u64, Vec<String>),
    Commit(u64, Commit, bool),
    List(u64, Epoch),
    /// Carries the last time at which a receiver that ignores epochs may get it.
    Order(u64, Order, u64),
    Fault,
}

pub(crate) struct World {
    random: StdRng,
    time: u64,
    queue: BTreeMap<(u64, u64), (usize, u64, Event)>,
    queued: u64,
    nodes: Vec<Node>,
    store: Store,
    targets: Targets,
    plan: Wanted,
    epochs: u64,
    stale: BTreeSet<(usize, u64, Epoch)>,
}

impl World {
    pub(crate) fn new(seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let kinds = [Receiver::ChecksEpoch, Receiver::IgnoresEpoch];
        let kind = kinds[random.random_range(0..2)];
        Self {
            nodes: (0..NODES).map(|index| Node::new(index, 0, kind, &mut random)).collect(),
            random,
            time: 0,
            queue: BTreeMap::new(),
            queued: 0,
            store: Store::default(),
            targets: Targets::new(kind),
            plan: Wanted::default(),
            epochs: 0,
            stale: BTreeSet::new(),
        }
    }

    /// Returns how many epochs, orders, repeated, stale and unmet orders there were.
    pub(crate) fn run(mut self) -> Result<[u64; 5], TestCaseError> {
        (0..NODES).for_each(|node| self.push(node, 0, Event::Lease(LeaseInput::Want)));
        self.set_plan();
        self.push(0, 100, Event::Fault);
        while let Some(((time, _), (node, run, event))) = self.queue.pop_first() {
            if time > END {
                break;
            }
            self.time = time;
            self.handle(node, run, event)?;
        }
        let reached = (self.targets.count(Class::Ordinary), self.targets.count(Class::Cheap));
        prop_assert_eq!(reached, (self.plan.ordinary, self.plan.cheap));
        let [orders, repeated, stale, unavailable] = self.targets.counts;
        Ok([self.epochs, orders, repeated, stale, unavailable])
    }

    fn push(&mut self, node: usize, delay: u64, event: Event) {
        self.queued += 1;
        let run = self.nodes[node].run;
        self.queue.insert((self.time + delay, self.queued), (node, run, event));
    }

    fn set_plan(&mut self) {
        let mut count = || self.random.random_range(0..4);
        self.plan = Wanted { ordinary: count(), cheap: count() };
        let most = &mut self.targets.most;
        most.ordinary = most.ordinary.max(self.plan.ordinary);
        most.cheap = most.cheap.max(self.plan.cheap);
        (0..NODES).for_each(|node| self.push(node, 0, Event::Orders(Input::Plan(self.plan))));
    }

    fn handle(&mut self, node: usize, run: u64, event: Event) -> Result<(), TestCaseError> {
        let paused = self.nodes[node].paused_until.saturating_sub(self.time);
        let ended = run != self.nodes[node].run;
        let down = self.store.down_until > self.time;
        match event {
            Event::Fault => self.fault(),
            Event::Read(request, keys) if !down => {
                let result = Ok(self.store.read(&keys));
                self.answer(node, Event::Lease(LeaseInput::Read { request, result }));
            }
            Event::Commit(request, commit, lease) if !down || self.fails(0.5) => {
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
            _ if ended => {}
            event if paused > 0 => self.push(node, paused, event),
            Event::Timer(timer) if self.nodes[node].timers[timer] > self.time => {}
            Event::Timer(0) => self.step_lease(node, LeaseInput::Tick)?,
            Event::Timer(_) => self.step_orders(node, Input::Tick)?,
            Event::Lease(input) => self.step_lease(node, input)?,
            Event::Orders(input) => self.step_orders(node, input)?,
        }
        Ok(())
    }

    /// Records must not come under an earlier epoch than the table's.
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
                    let lost = LeaseInput::Read { request, result: Err(Error::Unknown) };
                    self.request(index, Event::Read(request, keys), Event::Lease(lost));
                }
                LeaseAction::Commit { request, commit } => {
                    let lost = committed(request, Err(Error::Unknown), true);
                    self.request(index, Event::Commit(request, commit, true), lost);
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
        for action in node.orders.step(now, node.lease.held_mut(), input) {
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
                let lost = Input::Listed { request, result: Err(Error::Unknown) };
                self.request(index, Event::List(request, epoch), Event::Orders(lost));
            }
            Action::Record { request, commit } => {
                let lost = committed(request, Err(Error::Unknown), false);
                self.request(index, Event::Commit(request, commit, false), lost);
            }
            Action::Send { request, order, deadline } => {
                let stale = self.stale.contains(&(index, node.run, order.epoch));
                prop_assert!(!stale, "order under an epoch that was refused");
                let latest = node.time(deadline.until) + DELIVERY;
                let kind = self.targets.kind;
                let permit = |held| kind.permit(held, node.local(self.time), deadline);
                let permitted = node.lease.held().and_then(permit).is_some();
                let result = Err(if permitted { Error::Unknown } else { Error::Unreachable });
                self.push(index, TIMEOUT, Event::Orders(Input::Sent { request, result }));
                // Receivers that check epochs are safe however late an order arrives.
                let late = kind == Receiver::ChecksEpoch && self.fails(0.2);
                let delay = self.random.random_range(0..=if late { 6_000 } else { DELIVERY });
                if permitted && !self.fails(0.1) {
                    self.push(index, delay, Event::Order(request, order, latest));
                }
            }
            Action::Stale(epoch) => {
                let run = node.run;
                self.stale.insert((index, run, epoch));
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

    fn request(&mut self, index: usize, event: Event, lost: Event) {
        self.push(index, TIMEOUT, lost);
        let delay = self.delay();
        if self.nodes[index].cut_until <= self.time && !self.fails(0.03) {
            self.push(index, delay, event);
        }
    }

    fn answer(&mut self, index: usize, event: Event) {
        let delay = self.delay();
        let cut = self.store.down_until.max(self.nodes[index].cut_until) > self.time;
        if !cut && !self.fails(0.1) {
            self.push(index, delay, event);
        }
    }

    fn fault(&mut self) {
        if self.time > FAULTS_END {
            return;
        }
        let index = self.random.random_range(0..NODES);
        let until = self.time + self.random.random_range(10..4_000);
        match self.random.random_range(0..8) {
            0 => self.nodes[index].paused_until = until,
            1 => self.nodes[index].cut_until = until,
            2 => self.store.down_until = until,
            3 => {
                let (run, kind) = (self.nodes[index].run + 1, self.targets.kind);
                self.nodes[index] = Node::new(index, run, kind, &mut self.random);
                self.push(index, 50, Event::Lease(LeaseInput::Want));
                self.push(index, 50, Event::Orders(Input::Plan(self.plan)));
            }
            4 => {
                self.push(index, 0, Event::Lease(LeaseInput::Release));
                let delay = self.random.random_range(0..1_000);
                self.push(index, delay, Event::Lease(LeaseInput::Want));
            }
            5 => self.targets.reclaim(until),
            _ => self.set_plan(),
        }
        let delay = self.random.random_range(100..1_500);
        self.push(index, delay, Event::Fault);
    }

    /// Usually short; until the faults end, some messages are late.
    fn delay(&mut self) -> u64 {
        let bound = if self.fails(0.03) { 4_000 } else { [5, 60][self.random.random_range(0..2)] };
        self.random.random_range(0..bound)
    }

    fn fails(&mut self, probability: f64) -> bool {
        self.time < FAULTS_END && self.random.random_bool(probability)
    }
}

fn committed(request: u64, result: Result<u64, Error>, lease: bool) -> Event {
    if lease {
        return Event::Lease(LeaseInput::Committed { request, result });
    }
    Event::Orders(Input::Recorded { request, result })
}
