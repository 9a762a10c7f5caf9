use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use tamarackdock_types::{AccountName, HostName, clock::Instant};

use crate::{
    Action, Admission, Call, Fair, Fixed, Level,
    fair::Options,
    share::{Demand, Demands, split},
};

const SEED: [u8; 32] = [45; 32];
const SCHEDULES: u32 = 1_000;
const CAPACITY: u64 = 400;
const MAX_TOKENS: u64 = 100;

fn check<S: Strategy>(strategy: &S, test: impl Fn(S::Value) -> Result<(), TestCaseError>) {
    println!("seed {SEED:?}, {SCHEDULES} schedules");
    let config = Config { failure_persistence: None, ..Config::with_cases(SCHEDULES) };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let outcome = TestRunner::new_with_rng(config, rng).run(strategy, test);
    outcome.unwrap_or_else(|error| panic!("{error}"));
}

fn account(index: usize) -> AccountName {
    AccountName::new(&format!("a{index}")).expect("a valid name")
}

/// An admission control whose started calls end at given times.
struct Simulation {
    admission: Fair,
    now_ms: u64,
    calls: BTreeMap<u64, (usize, Call, u64)>,
    waiting: BTreeSet<u64>,
    ends: BTreeSet<(u64, u64)>,
    started: BTreeMap<(Level, usize), u64>,
    refused: Vec<(u64, Duration)>,
    next_id: u64,
    used: u64,
}

impl Simulation {
    fn new(options: Options) -> Self {
        Self {
            admission: Fair::new(options),
            now_ms: 0,
            calls: BTreeMap::new(),
            waiting: BTreeSet::new(),
            ends: BTreeSet::new(),
            started: BTreeMap::new(),
            refused: Vec::new(),
            next_id: 0,
            used: 0,
        }
    }

    fn now(&self) -> Instant {
        Instant::from_millis(self.now_ms)
    }

    fn offer(
        &mut self,
        index: usize,
        level: Level,
        tokens: u64,
        slack_ms: u64,
        run_ms: u64,
    ) -> Result<u64, TestCaseError> {
        let id = self.next_id;
        self.next_id += 1;
        let deadline = Instant::from_millis(self.now_ms + slack_ms);
        let call = Call { id, account: account(index), level, tokens, deadline };
        self.calls.insert(id, (index, call.clone(), run_ms));
        self.waiting.insert(id);
        let actions = self.admission.offer(call, self.now());
        self.apply(actions)?;
        Ok(id)
    }

    fn apply(&mut self, actions: Vec<Action>) -> Result<(), TestCaseError> {
        for action in actions {
            let (Action::Start { id } | Action::Refuse { id, .. }) = action;
            prop_assert!(self.waiting.remove(&id), "a second action for {id}");
            let (index, call, run_ms) = &self.calls[&id];
            match action {
                Action::Start { .. } => {
                    prop_assert!(self.now_ms <= call.deadline.as_millis(), "{id} starts late");
                    *self.started.entry((call.level, *index)).or_default() += call.tokens;
                    self.used += call.tokens;
                    self.ends.insert((self.now_ms + run_ms, id));
                }
                Action::Refuse { retry_after, .. } => self.refused.push((id, retry_after)),
            }
        }
        prop_assert_eq!(self.used, self.admission.used());
        prop_assert!(self.used <= CAPACITY, "{} tokens run", self.used);
        Ok(())
    }

    /// Moves the clock, ends calls on time, and ticks.
    fn advance(&mut self, until_ms: u64) -> Result<(), TestCaseError> {
        while let Some((at, id)) = self.ends.first().copied().filter(|(at, _)| *at <= until_ms) {
            self.ends.pop_first();
            self.used -= self.calls[&id].1.tokens;
            self.now_ms = at;
            let actions = self.admission.finish(id, self.now());
            self.apply(actions)?;
        }
        self.now_ms = until_ms;
        let actions = self.admission.tick(self.now());
        self.apply(actions)?;
        let is_late = |id: &&u64| self.calls[*id].1.deadline <= self.now();
        prop_assert_eq!(self.waiting.iter().find(is_late), None, "waits past its deadline");
        Ok(())
    }

    fn waiting_tokens(&self, level: Level, index: usize) -> u64 {
        let calls = self.waiting.iter().map(|id| &self.calls[id]);
        calls
            .filter(|call| call.0 == index && call.1.level == level)
            .map(|call| call.1.tokens)
            .sum()
    }

    fn share_of(&self, level: Level, index: usize) -> u64 {
        self.started.get(&(level, index)).copied().unwrap_or_default()
    }
}

/// Guards against unfair shares, starved batch calls, unused capacity and
/// exceeded capacity while every account has calls waiting. The started tokens
/// per weight of two accounts may differ by at most one largest call of each, and
/// batch calls may differ from their share by at most two largest calls.
#[test]
fn saturated_accounts_get_their_shares() {
    let schedule = (
        vec(1_u32..6, 2..6),
        any::<bool>(),
        0_u64..60,
        vec((20..=MAX_TOKENS, 10_u64..300), 20..60),
    );
    check(&schedule, |(weights, has_batch, batch_percent, calls)| {
        let weights_by_name = weights.iter().enumerate().map(|(i, w)| (account(i), *w)).collect();
        let options = Options {
            capacity: CAPACITY,
            weights: weights_by_name,
            batch_percent,
            ..Options::default()
        };
        let mut simulation = Simulation::new(options);
        let levels = if has_batch { vec![Level::App, Level::Batch] } else { vec![Level::App] };
        let far_ms = 1 << 40;
        let mut calls = calls.iter().cycle();
        // Fills the capacity first, so that all accounts wait from the start.
        simulation.offer(99, Level::App, CAPACITY, far_ms, 10)?;
        simulation.started.clear();
        for step in 0..30 {
            for (level, index) in
                levels.iter().flat_map(|l| (0..weights.len()).map(move |i| (*l, i)))
            {
                // More than can start in one step, so that the account always has calls waiting.
                while simulation.waiting_tokens(level, index) < CAPACITY + MAX_TOKENS {
                    let (tokens, run_ms) = *calls.next().expect("a cycle");
                    simulation.offer(index, level, tokens, far_ms, run_ms)?;
                }
            }
            simulation.advance(10 + step * 10)?;
            prop_assert!(simulation.admission.used() > CAPACITY - MAX_TOKENS, "capacity is unused");
            for level in &levels {
                for (left, right) in (0..weights.len()).flat_map(|l| (0..l).map(move |r| (l, r))) {
                    let (wl, wr) = (u64::from(weights[left]), u64::from(weights[right]));
                    let (sl, sr) =
                        (simulation.share_of(*level, left), simulation.share_of(*level, right));
                    let bound = MAX_TOKENS * (wl + wr);
                    prop_assert!(
                        (sl * wr).abs_diff(sr * wl) <= bound,
                        "{sl}/{wl} against {sr}/{wr}"
                    );
                }
            }
            let sum =
                |level| (0..weights.len()).map(|i| simulation.share_of(level, i)).sum::<u64>();
            let (app, batch) = (sum(Level::App), sum(Level::Batch));
            if has_batch {
                let share = (app + batch) * batch_percent / 100;
                prop_assert!(
                    batch.abs_diff(share) <= 2 * MAX_TOKENS,
                    "{batch} of {share} for batch"
                );
            }
        }
        prop_assert!(simulation.refused.is_empty());
        Ok(())
    });
}

/// Guards against calls that start late, wait past their deadline or get no
/// decision, against refusals without need, and against idle capacity.
#[test]
fn every_call_is_decided_in_time() {
    let call = (0_u64..80, 0_usize..4, any::<bool>(), 1..=MAX_TOKENS, 0_u64..2000, 1_u64..800);
    check(&(vec(call, 1..120), 0_u64..30), |(calls, buffer_percent)| {
        let options = Options {
            capacity: CAPACITY,
            buffer_percent,
            max_queued: 8,
            expected_rate: 1000.0,
            ..Options::default()
        };
        let mut simulation = Simulation::new(options);
        for (pause_ms, index, is_app, tokens, slack_ms, run_ms) in calls {
            simulation.advance(simulation.now_ms + pause_ms)?;
            let level = if is_app { Level::App } else { Level::Batch };
            let limit = if is_app { CAPACITY } else { CAPACITY * (100 - buffer_percent) / 100 };
            let fits =
                simulation.waiting.is_empty() && simulation.admission.used() + tokens <= limit;
            let id = simulation.offer(index, level, tokens, slack_ms, run_ms)?;
            prop_assert!(
                !fits || simulation.ends.iter().any(|(_, started)| *started == id),
                "refused without need"
            );
        }
        simulation.advance(simulation.now_ms + 1_000_000)?;
        prop_assert!(simulation.waiting.is_empty() && simulation.admission.used() == 0);
        Ok(())
    });
}

/// Guards against a `retry_after` that is too short. Without further calls, the
/// same call must succeed after this time and the running time of one call.
#[test]
fn retry_after_is_long_enough() {
    let schedule = (1..=MAX_TOKENS, 50_u64..500, 0_u64..1500, 20_usize..60, any::<bool>());
    let refusals = std::cell::Cell::new(0_u32);
    check(&schedule, |(tokens, run_ms, slack_ms, count, is_app)| {
        let level = if is_app { Level::App } else { Level::Batch };
        let options = Options { capacity: CAPACITY, max_queued: 1000, ..Options::default() };
        let mut simulation = Simulation::new(options);
        // Saturates for long enough to measure the drain rate.
        for step in 0..30 {
            simulation.advance(step * 100)?;
            for index in 0..2 {
                while simulation.waiting.len() < count {
                    simulation.offer(index, level, tokens, 1 << 40, run_ms)?;
                }
            }
        }
        simulation.refused.clear();
        // An account that waits behind its own calls, or one that is new.
        let index = if tokens % 2 == 0 { 0 } else { 2 };
        let id = simulation.offer(index, level, tokens, slack_ms, run_ms)?;
        let Some((_, retry_after)) =
            simulation.refused.iter().copied().find(|(refused, _)| *refused == id)
        else {
            return Ok(());
        };
        refusals.set(refusals.get() + 1);
        let retry_after_ms = u64::try_from(retry_after.as_millis()).expect("a short time") + 1;
        simulation.advance(simulation.now_ms + retry_after_ms + run_ms)?;
        let retried = simulation.offer(index, level, tokens, slack_ms, run_ms)?;
        simulation.advance(simulation.now_ms + slack_ms)?;
        let is_refused = simulation.refused.iter().any(|(refused, _)| *refused == retried);
        prop_assert!(!is_refused, "refused again after {retry_after:?}");
        Ok(())
    });
    println!("{} refusals", refusals.get());
    assert!(refusals.get() > SCHEDULES / 10, "too few calls were refused");
}

/// Guards against limits that each node keeps but all nodes exceed in sum, and
/// against accounts that lose their fair part to others.
#[test]
fn shares_of_nodes_sum_up_to_the_capacity() {
    let node = vec((0_usize..6, 0_u64..2000), 0..6);
    check(&(vec(node, 1..8), vec(1_u32..9, 6), 1_u64..5000), |(nodes, weights, capacity)| {
        let mut demands = Demands::new();
        for (index, node) in nodes.iter().enumerate() {
            let host = HostName::new(&format!("h{index}")).expect("a valid name");
            let entry = |(i, tokens): &(usize, u64)| {
                (account(*i), Demand { weight: weights[*i], tokens: *tokens })
            };
            demands.insert(host, node.iter().map(entry).collect());
        }
        let shares = split(capacity, &demands);
        let count = nodes.len() as u64;
        let sum: u64 = shares.values().sum();
        // Rounding loses less than one token for each account of a node and each node.
        prop_assert!(sum <= capacity && sum + 7 * count >= capacity, "{sum} of {capacity}");
        let total: u64 = demands.values().flat_map(|node| node.values()).map(|d| d.tokens).sum();
        for (host, share) in &shares {
            let own: u64 = demands[*host].values().map(|demand| demand.tokens).sum();
            let is_enough = total <= capacity * 95 / 100;
            prop_assert!(!is_enough || *share + 6 >= own, "{share} for a demand of {own}");
        }
        Ok(())
    });
}

/// Guards against a baseline that differs from a plain limit, and against batch
/// calls that use the buffer of app calls.
#[test]
fn fixed_limit_and_buffer() {
    let now = Instant::from_millis(0);
    let call = |id, level| Call { id, account: account(0), level, tokens: 50, deadline: now };
    let mut fixed = Fixed::new(1);
    assert_eq!(fixed.offer(call(1, Level::App), now), [Action::Start { id: 1 }]);
    assert!(matches!(fixed.offer(call(2, Level::App), now)[..], [Action::Refuse { id: 2, .. }]));
    fixed.finish(1, now);
    assert_eq!(fixed.offer(call(3, Level::App), now), [Action::Start { id: 3 }]);
    let mut fair = Fair::new(Options { capacity: 100, buffer_percent: 50, ..Options::default() });
    assert_eq!(fair.offer(call(1, Level::Batch), now), [Action::Start { id: 1 }]);
    assert!(matches!(fair.offer(call(2, Level::Batch), now)[..], [Action::Refuse { id: 2, .. }]));
    assert_eq!(fair.offer(call(3, Level::App), now), [Action::Start { id: 3 }]);
}

/// Guards against a call that waits until its deadline although a loss of capacity
/// has made it impossible to start it in time.
#[test]
fn calls_that_cannot_start_in_time_are_refused_early() {
    let now = Instant::from_millis(0);
    let deadline = Instant::from_millis(1000);
    let call = |id| Call { id, account: account(0), level: Level::App, tokens: 50, deadline };
    let options = Options { capacity: 100, expected_rate: 100.0, ..Options::default() };
    let mut fair = Fair::new(options);
    assert_eq!(fair.offer(call(1), now), [Action::Start { id: 1 }]);
    assert_eq!(fair.offer(call(2), now), [Action::Start { id: 2 }]);
    assert_eq!(fair.offer(call(3), now), []);
    let refused = fair.set_capacity(10, now);
    // 100 running and 50 waiting tokens above a capacity of 10 take 1.4 s.
    let retry_after = Duration::from_millis(400);
    assert_eq!(refused, [Action::Refuse { id: 3, retry_after }]);
}
