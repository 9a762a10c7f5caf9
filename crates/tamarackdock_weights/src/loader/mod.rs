//! State machine that loads the weights of one service on its engines.

mod action;
mod engine;
mod input;
mod order_id;
mod rate;

use std::{collections::BTreeMap, time::Duration};

pub use action::Action;
use engine::{Engine, Load};
pub use input::{Input, State};
pub use order_id::OrderId;
use rate::TokenBucket;
use tamarackdock_types::{TargetName, clock::Instant, fence::Epoch, weight::Version};

use crate::policy::{Candidate, Fleet, Policy};

/// Largest age that the newest report of an engine reaches: its lag on arrival
/// plus the time between two reports.
pub const MAX_REPORT_AGE: Duration = Duration::from_secs(2);
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Bounds the time for which a repaired engine keeps an old version.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(4);

/// Loads the newest weights on the engines of one service.
pub struct Loader {
    epoch: Epoch,
    policy: Box<dyn Policy>,
    engines: BTreeMap<TargetName, Engine>,
    newest: Version,
    rate: TokenBucket,
    next_number: u64,
    /// A new holder first waits for reports of the engines that still load for
    /// the previous holder.
    starts_at: Instant,
    /// Version for which [`Action::Done`] was returned last.
    reported_done: Option<Version>,
}

impl Loader {
    /// Creates the loader of a new holder, which knows no engine yet. It orders
    /// nothing before [`MAX_REPORT_AGE`] has passed.
    #[must_use]
    pub fn new(now: Instant, epoch: Epoch, policy: Box<dyn Policy>) -> Self {
        Self {
            epoch,
            policy,
            engines: BTreeMap::new(),
            newest: Version::default(),
            rate: TokenBucket::new(now),
            next_number: 0,
            starts_at: now + MAX_REPORT_AGE,
            reported_done: None,
        }
    }

    /// Handles one input and returns what to do next.
    pub fn handle(&mut self, now: Instant, input: Input) -> Vec<Action> {
        self.apply(now, input);
        let mut actions = self.order_loads(now);
        if now >= self.starts_at && self.is_done() && self.reported_done != Some(self.newest) {
            self.reported_done = Some(self.newest);
            actions.push(Action::Done(self.newest));
        }
        actions
    }

    fn is_done(&self) -> bool {
        let is_up_to_date =
            |engine: &Engine| engine.version >= self.newest && !engine.may_be_loading();
        !self.engines.is_empty() && self.engines.values().all(is_up_to_date)
    }

    fn apply(&mut self, now: Instant, input: Input) {
        match input {
            Input::Latest { version, loads_per_second } => {
                self.newest = self.newest.max(version);
                self.rate.set(now, loads_per_second);
            }
            Input::Reported { target, capacity, version, state } => {
                self.on_report(now, target, capacity, (version, state));
            }
            Input::Removed(target) => {
                self.engines.remove(&target);
            }
            Input::Loaded(order) => self.on_outcome(now, order, true),
            Input::Failed(order) => self.on_outcome(now, order, false),
            Input::Unknown(order) => self.on_unknown(now, order),
            Input::Tick => {}
        }
    }

    /// Returns the engine of an order whose outcome is not known, and the version
    /// that it loads.
    fn find(&mut self, order: OrderId) -> Option<(&mut Engine, Version)> {
        self.engines.values_mut().find_map(|engine| {
            let version = engine.pending_version(order)?;
            Some((engine, version))
        })
    }

    /// Records the outcome of an order. Responses to earlier orders are ignored.
    fn on_outcome(&mut self, now: Instant, order: OrderId, is_loaded: bool) {
        match self.find(order) {
            Some((engine, version)) if is_loaded => finish(engine, now, version),
            Some((engine, _)) => fail(engine, now),
            None => {}
        }
    }

    fn on_unknown(&mut self, now: Instant, order: OrderId) {
        if let Some((engine, version)) = self.find(order) {
            engine.load = Load::Unknown { order, version, since: now };
        }
    }

    fn on_report(
        &mut self,
        now: Instant,
        target: TargetName,
        capacity: u32,
        (version, state): (Version, State),
    ) {
        let engine = self.engines.entry(target).or_insert(Engine {
            capacity,
            version,
            reported: state,
            load: Load::Idle,
            failures: 0,
            last_outcome_at: None,
        });
        engine.capacity = capacity;
        match engine.load {
            Load::Unknown { version: ordered_version, .. }
                if version >= ordered_version && state == State::Serving =>
            {
                finish(engine, now, version);
            }
            Load::Unknown { since, .. }
                if state == State::Serving && was_made_after(now, since) =>
            {
                engine.version = version;
                fail(engine, now);
            }
            Load::Ordered { .. } | Load::Unknown { .. } => {}
            _ if engine.last_outcome_at.is_some_and(|at| !was_made_after(now, at)) => {}
            _ => (engine.version, engine.reported) = (version, state),
        }
    }

    /// Orders the loads that the policy chooses.
    fn order_loads(&mut self, now: Instant) -> Vec<Action> {
        if now < self.starts_at {
            return Vec::new();
        }
        let fleet = self.fleet(now);
        if fleet.candidates.is_empty() {
            return Vec::new();
        }
        let chosen = self.policy.choose(&fleet);
        self.rate.spend(chosen.len());
        chosen.into_iter().filter_map(|target| self.load(target)).collect()
    }

    fn load(&mut self, target: TargetName) -> Option<Action> {
        let order = OrderId { epoch: self.epoch, number: self.next_number };
        let version = self.newest;
        self.engines.get_mut(&target)?.load = Load::Ordered { order, version };
        self.next_number += 1;
        Some(Action::Load { order, target, version })
    }

    fn fleet(&mut self, now: Instant) -> Fleet {
        let mut fleet = Fleet::default();
        for (target, engine) in &self.engines {
            let capacity = u64::from(engine.capacity);
            fleet.capacity += capacity;
            if engine.may_be_loading() {
                fleet.loading += capacity;
            } else if engine.can_load(now, self.newest) {
                let (target, version) = (target.clone(), engine.version);
                fleet.candidates.push(Candidate { target, capacity, version });
            }
        }
        fleet.candidates.sort_by_key(|candidate| candidate.version);
        fleet.permits = self.rate.permits(now, fleet.candidates.len());
        fleet
    }
}

/// Returns whether a report that arrives now was made after `since`.
fn was_made_after(now: Instant, since: Instant) -> bool {
    now.since(since) > MAX_REPORT_AGE
}

fn finish(engine: &mut Engine, now: Instant, version: Version) {
    engine.version = version;
    engine.reported = State::Serving;
    engine.load = Load::Idle;
    engine.failures = 0;
    engine.last_outcome_at = Some(now);
}

fn fail(engine: &mut Engine, now: Instant) {
    let doublings = engine.failures.min(8);
    let delay = (FIRST_RETRY_DELAY * 2u32.pow(doublings)).min(MAX_RETRY_DELAY);
    engine.failures += 1;
    engine.reported = State::Serving;
    engine.load = Load::Waiting { until: now + delay };
    engine.last_outcome_at = Some(now);
}
