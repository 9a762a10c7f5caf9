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
    loader::{Action, Input, Loader, OrderId, State},
    policy::{AllAtOnce, Policy, Waves},
};

const SCHEDULES: u32 = 500;
const SEED: [u8; 32] = [7; 32];

#[derive(Debug, Clone, Copy)]
struct Plan {
    seed: u64,
    engines: usize,
    rate: f64,
    /// Largest share of the capacity that loads at once, or `None` for the baseline.
    max_loading_percent: Option<u8>,
    fault_percent: u32,
    faults_end_ms: u64,
}

#[derive(Clone)]
struct FakeEngine {
    capacity: u32,
    version: Version,
    loading: Option<(u64, OrderId, Version, bool)>,
}

struct Simulation {
    plan: Plan,
    rng: ChaCha8Rng,
    now: u64,
    newest: Version,
    /// Newest version that was passed to the loader.
    announced: Version,
    loader: Loader,
    epoch: Epoch,
    engines: BTreeMap<TargetName, FakeEngine>,
    inputs: BTreeMap<(u64, usize), Input>,
    /// Arrival of the last report of each engine.
    arrivals: BTreeMap<TargetName, u64>,
    ordered: BTreeMap<OrderId, (TargetName, Version)>,
    /// Loads that the loader knows to be complete.
    confirmed: BTreeMap<TargetName, Version>,
    sent: usize,
    starts: VecDeque<u64>,
    max_loading: u64,
    orders: usize,
}

fn policy(plan: Plan) -> Box<dyn Policy> {
    match plan.max_loading_percent {
        Some(max_loading_percent) => Box::new(Waves { max_loading_percent }),
        None => Box::new(AllAtOnce),
    }
}

impl Simulation {
    fn new(plan: Plan) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
        let engine = |n: usize| {
            let capacity = if plan.fault_percent == 0 { 16 } else { rng.random_range(1..32) };
            let name = TargetName::new(&format!("e{n}")).unwrap();
            (name, FakeEngine { capacity, version: Version(1), loading: None })
        };
        let engines = (0..plan.engines).map(engine).collect();
        let epoch = Epoch(1);
        Self {
            plan,
            rng,
            now: 0,
            newest: Version(1),
            announced: Version(1),
            loader: Loader::new(Instant::default(), epoch, policy(plan)),
            epoch,
            engines,
            inputs: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            ordered: BTreeMap::new(),
            confirmed: BTreeMap::new(),
            sent: 0,
            starts: VecDeque::new(),
            max_loading: 0,
            orders: 0,
        }
    }

    fn fails(&mut self) -> bool {
        self.now < self.plan.faults_end_ms
            && self.rng.random_range(0..100) < self.plan.fault_percent
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
            if self.fails() && self.rng.random_range(0..100) == 0 {
                self.publish();
            }
            if self.fails() && self.rng.random_range(0..100) == 0 {
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
            let current =
                |engine: &FakeEngine| engine.version == self.newest && engine.loading.is_none();
            if self.now > self.plan.faults_end_ms && self.engines.values().all(current) {
                return self.now;
            }
        }
        panic!("engines serve an old version at {until} ms");
    }

    fn at(&self) -> Instant {
        Instant::from_millis(self.now)
    }

    fn report(&mut self) {
        for (target, engine) in self.engines.clone() {
            let state = if engine.loading.is_some() { State::Loading } else { State::Serving };
            let arrives = self.now + self.rng.random_range(0..1400);
            let last = self.arrivals.entry(target.clone()).or_default();
            *last = arrives.max(*last);
            let lag = *last - self.now;
            let (capacity, version) = (engine.capacity, engine.version);
            self.send(lag, Input::Reported { target, capacity, version, state });
        }
    }

    fn finish_loads(&mut self) {
        let now = self.now;
        let ended = |engine: &FakeEngine| engine.loading.is_some_and(|load| load.0 <= now);
        let ended: Vec<TargetName> = self
            .engines
            .iter()
            .filter(|(_, engine)| ended(engine))
            .map(|(t, _)| t.clone())
            .collect();
        for target in ended {
            let engine = self.engines.get_mut(&target).unwrap();
            let (_, order, version, succeeds) = engine.loading.take().unwrap();
            if succeeds {
                engine.version = version;
            }
            let outcome = if succeeds { Input::Loaded(order) } else { Input::Failed(order) };
            let lost = self.fails();
            self.send(5, if lost { Input::Unknown(order) } else { outcome.clone() });
            if self.fails() {
                self.send(900, outcome);
            }
        }
    }

    fn input(&mut self, input: Input) {
        match &input {
            Input::Latest { version, .. } => self.announced = *version,
            Input::Loaded(order) => self.confirmed.extend(self.ordered.remove(order)),
            _ => {}
        }
        for action in self.loader.handle(self.at(), input) {
            match action {
                Action::Load { order, target, version } => self.load(order, &target, version),
                Action::Done(version) => {
                    let done =
                        |engine: &FakeEngine| engine.version >= version && engine.loading.is_none();
                    assert!(self.engines.values().all(done), "done before the engines are");
                }
            }
        }
    }

    fn load(&mut self, order: OrderId, target: &TargetName, version: Version) {
        assert_eq!(version, self.announced, "a superseded version was ordered");
        let confirmed = self.confirmed.get(target);
        assert!(confirmed.is_none_or(|had| *had < version), "a load was ordered again");
        self.ordered.insert(order, (target.clone(), version));
        let (lost, succeeds) = (self.fails(), !self.fails());
        let takes =
            if self.plan.fault_percent == 0 { 1000 } else { self.rng.random_range(100..4000) };
        self.orders += 1;
        self.starts.push_back(self.now);
        if lost {
            return self.send(10, Input::Unknown(order));
        }
        let engine = self.engines.get_mut(target).unwrap();
        assert!(engine.loading.is_none(), "an engine got two loads at once");
        engine.loading = Some((self.now + takes, order, version, succeeds));
        self.check();
    }

    fn check(&mut self) {
        let loading = self.engines.values().filter(|engine| engine.loading.is_some());
        let (count, loading_capacity) =
            loading.fold((0, 0), |(n, sum), engine| (n + 1, sum + u64::from(engine.capacity)));
        self.max_loading = self.max_loading.max(loading_capacity);
        let all: u64 = self.engines.values().map(|engine| u64::from(engine.capacity)).sum();
        let Some(max_loading_percent) = self.plan.max_loading_percent else {
            return;
        };
        let fits = count == 1 || loading_capacity * 100 <= all * u64::from(max_loading_percent);
        assert!(fits, "{loading_capacity} of {all} loading, {max_loading_percent} % allowed");
        while self.starts.front().is_some_and(|start| start + 1000 <= self.now) {
            self.starts.pop_front();
        }
        // One burst of a tenth of a second or one load comes on top of the rate.
        let max_starts = self.plan.rate + (self.plan.rate * 0.1).max(1.0) + 1e-6;
        let started = f64::from(u32::try_from(self.starts.len()).unwrap());
        assert!(started <= max_starts, "{started} loads in one second, {max_starts} allowed");
    }
}

/// Guards against engines that keep an old version, that load twice, or that load
/// beyond the share or the rate, after faults, lost responses and a new holder.
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
        |(seed, engines, rate, max_loading_percent, fault_percent)| Plan {
            seed,
            engines,
            rate: f64::from(rate) / 2.0,
            max_loading_percent: Some(max_loading_percent),
            fault_percent,
            faults_end_ms: 12_000,
        },
    );
    let orders = std::cell::Cell::new(0);
    let verdict = TestRunner::new_with_rng(config, rng).run(&plans, |plan| {
        let mut simulation = Simulation::new(plan);
        simulation.publish();
        simulation.run(200_000);
        orders.set(orders.get() + simulation.orders);
        Ok(())
    });
    println!("{SCHEDULES} schedules, seed {SEED:?}: {} orders", orders.get());
    verdict.unwrap();
}

/// Guards against waves that are too slow for a large service: 650 engines must
/// load in 15 s.
#[test]
fn large_service_loads_in_time() {
    for max_loading_percent in [Some(10), None] {
        let plan = Plan {
            seed: 1,
            engines: 650,
            rate: 50.0,
            max_loading_percent,
            fault_percent: 0,
            faults_end_ms: 0,
        };
        let mut simulation = Simulation::new(plan);
        // All engines serve the newest version, and the loader knows them.
        simulation.run(4000);
        while simulation.now < 4000 {
            simulation.now += 100;
            simulation.report();
            while let Some(entry) =
                simulation.inputs.first_entry().filter(|e| e.key().0 <= simulation.now)
            {
                let input = entry.remove();
                simulation.input(input);
            }
        }
        simulation.publish();
        let start = simulation.now;
        let took = simulation.run(start + 60_000) - start;
        println!(
            "{max_loading_percent:?} %: {took} ms, {} of {} loading",
            simulation.max_loading,
            650 * 16
        );
        assert!(took <= 15_000);
        assert!(max_loading_percent.is_none() || simulation.max_loading <= 1040);
    }
}
