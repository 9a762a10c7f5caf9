//! Seeded schedules of weight loads with failing engines, lost responses,
//! lagging reports, new versions and a new holder.

use std::collections::{BTreeMap, VecDeque};

use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tamarackdock_types::{TargetName, clock::Instant, fence::Epoch, weight::Version};
use tamarackdock_weights::{
    loader::{Action, Input, Loader, Order, State},
    policy::{AllAtOnce, Policy, Waves},
};

const SCHEDULES: u32 = 500;
const SEED: [u8; 32] = [7; 32];

#[derive(Debug, Clone, Copy)]
struct Plan {
    seed: u64,
    engines: usize,
    rate: f64,
    percent: Option<u8>,
    faults: u32,
    faults_end: u64,
}

#[derive(Clone)]
struct Fake {
    capacity: u32,
    version: Version,
    loading: Option<(u64, Order, Version, bool)>,
}

struct World {
    plan: Plan,
    rng: ChaCha8Rng,
    now: u64,
    newest: Version,
    /// Newest version that the loader was told.
    told: Version,
    loader: Loader,
    epoch: Epoch,
    fakes: BTreeMap<TargetName, Fake>,
    inputs: BTreeMap<(u64, usize), Input>,
    /// Arrival of the last report of each engine.
    arrivals: BTreeMap<TargetName, u64>,
    ordered: BTreeMap<Order, (TargetName, Version)>,
    /// Loads that the loader knows to be complete.
    confirmed: BTreeMap<TargetName, Version>,
    sent: usize,
    starts: VecDeque<u64>,
    most_away: u64,
    orders: usize,
}

fn policy(plan: Plan) -> Box<dyn Policy> {
    match plan.percent {
        Some(max_away_percent) => Box::new(Waves { max_away_percent }),
        None => Box::new(AllAtOnce),
    }
}

impl World {
    fn new(plan: Plan) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
        let fake = |n: usize| {
            let capacity = if plan.faults == 0 { 16 } else { rng.random_range(1..32) };
            let name = TargetName::new(&format!("e{n}")).unwrap();
            (name, Fake { capacity, version: Version(1), loading: None })
        };
        let fakes = (0..plan.engines).map(fake).collect();
        let epoch = Epoch(1);
        Self {
            plan,
            rng,
            now: 0,
            newest: Version(1),
            told: Version(1),
            loader: Loader::new(Instant::default(), epoch, policy(plan)),
            epoch,
            fakes,
            inputs: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            ordered: BTreeMap::new(),
            confirmed: BTreeMap::new(),
            sent: 0,
            starts: VecDeque::new(),
            most_away: 0,
            orders: 0,
        }
    }

    fn faulty(&mut self) -> bool {
        self.now < self.plan.faults_end && self.rng.random_range(0..100) < self.plan.faults
    }

    fn send(&mut self, delay: u64, input: Input) {
        self.sent += 1;
        self.inputs.insert((self.now + delay, self.sent), input);
    }

    fn publish(&mut self) {
        self.newest.0 += 1;
        let latest = Input::Latest { version: self.newest, loads_per_second: self.plan.rate };
        self.send(0, latest);
    }

    /// Runs until all engines serve the newest version, and returns the time in ms.
    fn run(&mut self, until: u64) -> u64 {
        while self.now < until {
            self.now += 20;
            self.finish_loads();
            if self.now.is_multiple_of(500) {
                self.report();
            }
            if self.faulty() && self.rng.random_range(0..100) == 0 {
                self.publish();
            }
            if self.faulty() && self.rng.random_range(0..100) == 0 {
                self.epoch = self.epoch.next();
                self.ordered.clear();
                self.confirmed.clear();
                self.loader = Loader::new(self.at(), self.epoch, policy(self.plan));
                let latest =
                    Input::Latest { version: self.newest, loads_per_second: self.plan.rate };
                self.send(0, latest);
            }
            while let Some(entry) = self.inputs.first_entry().filter(|e| e.key().0 <= self.now) {
                let input = entry.remove();
                self.input(input);
            }
            self.input(Input::Tick);
            let current = |fake: &Fake| fake.version == self.newest && fake.loading.is_none();
            if self.now > self.plan.faults_end && self.fakes.values().all(current) {
                return self.now;
            }
        }
        panic!("engines are behind at {until} ms");
    }

    fn at(&self) -> Instant {
        Instant::from_millis(self.now)
    }

    fn report(&mut self) {
        for (target, fake) in self.fakes.clone() {
            let state = if fake.loading.is_some() { State::Loading } else { State::Serving };
            let arrives = self.now + self.rng.random_range(0..1400);
            let last = self.arrivals.entry(target.clone()).or_default();
            *last = arrives.max(*last);
            let lag = *last - self.now;
            let (capacity, version) = (fake.capacity, fake.version);
            self.send(lag, Input::Reported { target, capacity, version, state });
        }
    }

    fn finish_loads(&mut self) {
        let now = self.now;
        let ended = |fake: &Fake| fake.loading.is_some_and(|load| load.0 <= now);
        let ended: Vec<TargetName> =
            self.fakes.iter().filter(|(_, f)| ended(f)).map(|(t, _)| t.clone()).collect();
        for target in ended {
            let fake = self.fakes.get_mut(&target).unwrap();
            let (_, order, version, works) = fake.loading.take().unwrap();
            if works {
                fake.version = version;
            }
            let outcome = if works { Input::Loaded(order) } else { Input::Failed(order) };
            let lost = self.faulty();
            self.send(5, if lost { Input::Unknown(order) } else { outcome.clone() });
            if self.faulty() {
                self.send(900, outcome);
            }
        }
    }

    fn input(&mut self, input: Input) {
        match &input {
            Input::Latest { version, .. } => self.told = *version,
            Input::Loaded(order) => self.confirmed.extend(self.ordered.remove(order)),
            _ => {}
        }
        for action in self.loader.handle(self.at(), input) {
            match action {
                Action::Load { order, target, version } => self.load(order, &target, version),
                Action::Done(version) => {
                    let done = |fake: &Fake| fake.version >= version && fake.loading.is_none();
                    assert!(self.fakes.values().all(done), "done before the engines are");
                }
            }
        }
    }

    fn load(&mut self, order: Order, target: &TargetName, version: Version) {
        assert_eq!(version, self.told, "a superseded version was ordered");
        let confirmed = self.confirmed.get(target);
        assert!(confirmed.is_none_or(|had| *had < version), "a load was ordered again");
        self.ordered.insert(order, (target.clone(), version));
        let (lost, works) = (self.faulty(), !self.faulty());
        let takes = if self.plan.faults == 0 { 1000 } else { self.rng.random_range(100..4000) };
        self.orders += 1;
        self.starts.push_back(self.now);
        if lost {
            return self.send(10, Input::Unknown(order));
        }
        let fake = self.fakes.get_mut(target).unwrap();
        assert!(fake.loading.is_none(), "an engine got two loads at once");
        fake.loading = Some((self.now + takes, order, version, works));
        self.check();
    }

    fn check(&mut self) {
        let loading = self.fakes.values().filter(|fake| fake.loading.is_some());
        let (count, away) =
            loading.fold((0, 0), |(n, sum), fake| (n + 1, sum + u64::from(fake.capacity)));
        self.most_away = self.most_away.max(away);
        let all: u64 = self.fakes.values().map(|fake| u64::from(fake.capacity)).sum();
        let Some(percent) = self.plan.percent else {
            return;
        };
        let fits = count == 1 || away * 100 <= all * u64::from(percent);
        assert!(fits, "{away} of {all} away, {percent} % allowed");
        while self.starts.front().is_some_and(|start| start + 1000 <= self.now) {
            self.starts.pop_front();
        }
        // One burst of a tenth of a second or one load comes on top of the rate.
        let most = self.plan.rate + (self.plan.rate * 0.1).max(1.0) + 1e-6;
        let started = f64::from(u32::try_from(self.starts.len()).unwrap());
        assert!(started <= most, "{started} loads in one second, {most} allowed");
    }
}

/// Guards against engines that stay behind, double loads, and loads beyond the
/// share or the rate.
#[test]
fn engines_follow_within_share_and_rate() {
    let config = Config {
        cases: SCHEDULES,
        failure_persistence: None,
        max_shrink_iters: 64,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let plans = (any::<u64>(), 1..30usize, 1..40u32, 1..60u8, 1..30u32).prop_map(
        |(seed, engines, rate, percent, faults)| Plan {
            seed,
            engines,
            rate: f64::from(rate) / 2.0,
            percent: Some(percent),
            faults,
            faults_end: 12_000,
        },
    );
    let orders = std::cell::Cell::new(0);
    let verdict = TestRunner::new_with_rng(config, rng).run(&plans, |plan| {
        let mut world = World::new(plan);
        world.publish();
        world.run(200_000);
        orders.set(orders.get() + world.orders);
        Ok(())
    });
    println!("{SCHEDULES} schedules, seed {SEED:?}: {} orders", orders.get());
    verdict.unwrap();
}

/// Guards against waves that are too slow for the large size: 650 engines in 15 s.
#[test]
fn large_service_loads_in_time() {
    for percent in [Some(10), None] {
        let plan = Plan { seed: 1, engines: 650, rate: 50.0, percent, faults: 0, faults_end: 0 };
        let mut world = World::new(plan);
        // All engines serve the newest version, and the loader knows them.
        world.run(4000);
        while world.now < 4000 {
            world.now += 100;
            world.report();
            while let Some(entry) = world.inputs.first_entry().filter(|e| e.key().0 <= world.now) {
                let input = entry.remove();
                world.input(input);
            }
        }
        world.publish();
        let start = world.now;
        let took = world.run(start + 60_000) - start;
        println!("{percent:?} %: {took} ms, {} of {} away", world.most_away, 650 * 16);
        assert!(took <= 15_000);
        assert!(percent.is_none() || world.most_away <= 1040);
    }
}
