//! Targets that load slower the more of them load.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use tamarackdock_types::clock::Instant;
use tamarackdock_weights::wave::{Finished, Load, Model, Name, Pace, State, Target, due};

use crate::baseline::previous_loads;

/// Milliseconds that a load takes while at most [`FAST_LOADS`] run.
pub(crate) const LOAD_MS: u64 = 900;
/// Number of loads that do not slow each other down.
const FAST_LOADS: usize = 9;
/// Milliseconds between two decisions.
const STEP_MS: u64 = 50;
/// Milliseconds after which an order is given up.
const TIMEOUT_MS: u64 = 5000;
/// Pause in milliseconds after the first order that was given up. It doubles up to 5 s.
const PAUSE_MS: u64 = 300;
/// Parts of a millisecond in which the progress of a load is counted.
const PARTS: u64 = 1000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Decision {
    Previous,
    Wave,
}

#[derive(Debug, Clone)]
struct Order {
    load: Load,
    accepted: u64,
    next_report: u64,
    report_interval: Duration,
    is_first: bool,
    /// What is left of the load, in parts of milliseconds.
    left: u64,
}

pub(crate) struct Fleet {
    now: u64,
    targets: Vec<Target>,
    models: BTreeMap<Name, Model>,
    orders: Vec<Order>,
    paused_until: BTreeMap<Name, u64>,
    broken: BTreeSet<Name>,
    failing: BTreeMap<Name, u32>,
    pace: Pace,
    /// Time at which each load was finished, with its model and version.
    loaded: Vec<(Name, u64, u64)>,
}

pub(crate) fn target(id: usize, model: &str, version: u64) -> Target {
    let id = format!("t{id:02}").as_str().into();
    Target { id, model: model.into(), version, state: State::Idle }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap()
}

impl Fleet {
    /// Creates targets with version 1 of their models.
    pub(crate) fn new(assigned: &[&str], demand: [u64; 3]) -> Self {
        let model = |(name, demand): (&&str, u64)| {
            (Name::from(*name), Model { demand, ..Model::default() })
        };
        let targets = assigned.iter().enumerate();
        Self {
            now: 0,
            targets: targets.map(|(id, model)| target(id, model, 1)).collect(),
            models: crate::MODELS.iter().zip(demand).map(model).collect(),
            orders: Vec::new(),
            paused_until: BTreeMap::new(),
            broken: BTreeSet::new(),
            failing: BTreeMap::new(),
            pace: Pace::default(),
            loaded: Vec::new(),
        }
    }

    pub(crate) fn now(&self) -> u64 {
        self.now
    }

    pub(crate) fn publish(&mut self, version: u64) {
        self.models.values_mut().for_each(|model| model.published = version);
    }

    /// Makes a target accept orders and never finish them.
    pub(crate) fn break_target(&mut self, index: usize) {
        self.broken.insert(self.targets[index].id.clone());
    }

    pub(crate) fn count(&self, model: &str) -> usize {
        self.targets.iter().filter(|target| &*target.model == model).count()
    }

    /// Returns the number of a model's loads in progress.
    pub(crate) fn loading(&self, model: &str) -> usize {
        self.orders.iter().filter(|order| &*order.load.model == model).count()
    }

    fn times(&self, model: &str, version: u64) -> impl Iterator<Item = u64> {
        let is_own = move |loaded: &&(Name, u64, u64)| &*loaded.0 == model && loaded.1 == version;
        self.loaded.iter().filter(is_own).map(|(_, _, time)| *time)
    }

    /// Returns when the given number of a model's targets had loaded a version.
    pub(crate) fn nth_loaded(&self, model: &str, version: u64, count: usize) -> Option<u64> {
        self.times(model, version).nth(count - 1)
    }

    pub(crate) fn run(&mut self, decision: Decision, until: u64) {
        while self.now < until {
            self.step(decision);
        }
    }

    /// Decides, and lets the time until the next decision pass.
    pub(crate) fn step(&mut self, decision: Decision) {
        self.order(decision);
        for _ in 0..STEP_MS {
            self.pass();
        }
    }

    fn order(&mut self, decision: Decision) {
        for target in &mut self.targets {
            let order = self.orders.iter().find(|order| order.load.target == target.id);
            let is_paused = self.paused_until.get(&target.id).is_some_and(|at| self.now < *at);
            target.state = match order {
                Some(order) => State::Loading(order.load.version),
                None if is_paused => State::Paused,
                None if self.failing.contains_key(&target.id) => State::Failing,
                None => State::Idle,
            };
        }
        let loads = match decision {
            Decision::Previous => {
                let newest = self.models.values().map(|model| model.published).max();
                previous_loads(&self.targets, newest.unwrap_or_default())
            }
            Decision::Wave => {
                let limit = self.pace.limit(self.targets.len());
                due(&self.targets, &self.models, limit.saturating_sub(self.orders.len()))
            }
        };
        // What the previous decision requested, and when.
        let (first, report_interval) = match decision {
            Decision::Previous => (Duration::from_millis(850), Duration::from_millis(200)),
            Decision::Wave => (self.pace.first_report(), Pace::REPORT_INTERVAL),
        };
        let left = LOAD_MS * PARTS;
        let next_report = self.now + millis(first);
        let accepted = self.now;
        self.orders.extend(loads.into_iter().map(|load| Order {
            load,
            accepted,
            next_report,
            report_interval,
            is_first: true,
            left,
        }));
    }

    /// Lets a millisecond pass.
    fn pass(&mut self) {
        let speed = PARTS * FAST_LOADS as u64 / (self.orders.len().max(FAST_LOADS) as u64);
        self.now += 1;
        let mut orders = std::mem::take(&mut self.orders);
        let mut in_progress = orders.len();
        orders.retain_mut(|order| {
            if !self.broken.contains(&order.load.target) {
                order.left = order.left.saturating_sub(speed);
            }
            let keeps = self.keep(order, in_progress);
            in_progress -= usize::from(!keeps);
            keeps
        });
        self.orders = orders;
    }

    /// Returns whether an order, one of so many, is still in progress.
    fn keep(&mut self, order: &mut Order, in_progress: usize) -> bool {
        if self.now - order.accepted >= TIMEOUT_MS {
            let failures = self.failing.entry(order.load.target.clone()).or_default();
            let pause = (PAUSE_MS << *failures).min(TIMEOUT_MS);
            *failures += 1;
            self.paused_until.insert(order.load.target.clone(), self.now + pause);
            return false;
        }
        if self.now < order.next_report {
            return true;
        }
        let is_first = std::mem::replace(&mut order.is_first, false);
        order.next_report = self.now + millis(order.report_interval);
        if order.left > 0 {
            return true;
        }
        let at = Instant::from_millis;
        let (accepted, reported) = (at(order.accepted), at(self.now));
        let load = Finished { accepted, reported, is_first };
        self.pace.record(load, self.targets.len(), in_progress);
        let Load { target, model, version } = &order.load;
        let loaded = self.targets.iter_mut().find(|other| other.id == *target);
        loaded.expect("the target exists").version = *version;
        self.loaded.push((model.clone(), *version, self.now));
        false
    }
}
