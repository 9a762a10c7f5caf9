use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use standin::{
    engine::Records as EngineRecords,
    resource::{Threads, cpu_time, resident_bytes},
    world::World,
};

use crate::{
    accounts::Accounts,
    attempts::Attempts,
    figures::Figures,
    histogram::{collect, millis, quantile},
    profile::Profile,
    reports::Reports,
    spend::Spend,
    work::Work,
};

/// App calls slower than this count as slow.
const SLOW_MS: u64 = 1000;
const PLOT_QUANTILES: [f64; 9] = [0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.98, 0.99, 0.999];

/// App calls up to a time.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Calls {
    answered: u64,
    slow: u64,
    failed: u64,
}

impl Calls {
    /// Counts the calls of all apps but the flood.
    pub(crate) fn count(work: &Work) -> Self {
        let mut calls = Self::default();
        for (_, app) in &work.apps {
            app.read(|records| {
                let slow = Duration::from_millis(SLOW_MS);
                calls.answered += records.answered;
                calls.slow += records.latencies.iter().filter(|time| **time > slow).count() as u64;
                calls.failed += records.refusals.values().sum::<u64>() + records.broken;
            });
        }
        calls
    }
}

/// A finished run.
pub(crate) struct Gathered<'a> {
    pub(crate) world: &'a World,
    pub(crate) work: &'a Work,
    pub(crate) profile: &'a Profile,
    pub(crate) spend: &'a Spend,
    /// Calls when the data centre left and after it was back.
    pub(crate) marks: [Calls; 2],
    pub(crate) begin: Instant,
}

impl Gathered<'_> {
    /// Computes the figures.
    pub(crate) fn figures(&self, name: &str, seed: u64) -> Figures {
        let elapsed = self.begin.elapsed();
        let accounts = Accounts::read(self.work);
        let apps = accounts.latencies();
        let (steps, ages) = (self.steps(), self.ages());
        let [left, returned] = self.marks;
        let tokens = self.tokens_delivered();
        let attempts = Attempts::count(self.world, self.work);
        Figures {
            scenario: self.profile.name,
            policy: name.into(),
            seed,
            seconds: elapsed.as_secs_f64(),
            trainer_idle_share: self.idle_share(elapsed),
            staleness_mean: self.has_loads().then(|| ages.mean()),
            staleness_p99: quantile(&ages, 0.99).filter(|_| self.has_loads()),
            steps: steps.len(),
            step_p50_ms: quantile(&steps, 0.5),
            step_p99_ms: quantile(&steps, 0.99),
            violations: self.trainers(|records| records.violations.len()).iter().sum(),
            app_calls: accounts.calls(),
            app_failed: Calls::count(self.work).failed,
            app_p50_ms: quantile(&apps, 0.5),
            app_p99_ms: quantile(&apps, 0.99),
            worst_account: accounts.worst().map(|(name, _)| name),
            worst_account_p99_ms: accounts.worst().map(|(_, p99)| p99),
            worst_to_median_p99: accounts.worst_to_median(),
            least_success_share: accounts.least_success_share(),
            out_app_failed: returned.failed - left.failed,
            out_app_slow: returned.slow - left.slow,
            out_app_calls: returned.answered + returned.failed - left.answered - left.failed,
            cost_per_million_tokens: (tokens > 0)
                .then(|| self.spend.cost() / (float(tokens) / 1e6)),
            app_refusals: self.app_refusals(),
            orders: Spend::orders(self.world),
            tokens_delivered: tokens,
            cheap_token_share: self.cheap_token_share(),
            attempts_per_call: attempts.per_call(),
            attempts_per_app_call: attempts.per_app_call(),
            attempts_per_sample: attempts.per_sample(),
            unused_sample_token_share: attempts.unused_token_share(),
            engine_crashes: self.engines(|records| records.crashes).iter().sum(),
            reports: Reports::default(),
            node_cpu_share: self.node_cpu_share(elapsed),
            node_memory_bytes: None,
            node_control_bytes_per_second: None,
            process_memory_bytes: resident_bytes(std::process::id()),
            app_latency_ms: PLOT_QUANTILES
                .into_iter()
                .filter_map(|at| Some((at, quantile(&apps, at)?)))
                .collect(),
        }
    }

    fn trainers<T>(&self, read: impl Fn(&standin::trainer::Records) -> T) -> Vec<T> {
        self.work.trainers.iter().map(|trainer| trainer.read(&read)).collect()
    }

    fn engines<T>(&self, read: impl Fn(&EngineRecords) -> T) -> Vec<T> {
        self.world.engines.iter().map(|engine| engine.read(&read)).collect()
    }

    /// Returns the share of time in which trainers did not compute.
    fn idle_share(&self, elapsed: Duration) -> f64 {
        let compute = self.trainers(|records| records.compute.as_secs_f64());
        let count = f64::from(u32::try_from(compute.len()).unwrap_or(u32::MAX));
        1.0 - compute.iter().sum::<f64>() / (elapsed.as_secs_f64() * count)
    }

    fn steps(&self) -> Histogram<u64> {
        let steps = self.trainers(|records| records.idle.clone()).concat();
        collect(steps.into_iter().map(millis))
    }

    fn ages(&self) -> Histogram<u64> {
        collect(self.trainers(|records| records.ages.clone()).concat())
    }

    fn has_loads(&self) -> bool {
        self.engines(|records| records.loads.iter().any(|load| load.3)).contains(&true)
    }

    /// Returns the tokens of delivered samples and whole app answers.
    pub(crate) fn tokens_delivered(&self) -> u64 {
        let samples: u64 = self.trainers(|records| records.tokens).iter().sum();
        let apps = self.work.apps.iter().map(|(_, app)| app.read(|records| records.tokens));
        samples + apps.sum::<u64>()
    }

    fn app_refusals(&self) -> Vec<(String, u64)> {
        let mut sums = BTreeMap::<String, u64>::new();
        for (_, app) in &self.work.apps {
            app.read(|records| {
                for ((code, ran), count) in &records.refusals {
                    *sums.entry(format!("{code}, ran {ran}")).or_default() += count;
                }
            });
        }
        sums.into_iter().collect()
    }

    fn cheap_token_share(&self) -> Option<f64> {
        let tokens = self.engines(EngineRecords::total_tokens);
        let cheap: u64 = self.profile.cheap().into_iter().map(|index| tokens[index]).sum();
        let all: u64 = tokens.iter().sum();
        (all > 0).then(|| float(cheap) / float(all))
    }

    fn node_cpu_share(&self, elapsed: Duration) -> Option<f64> {
        let process = std::process::id();
        let names = (0..self.world.hosts.len()).map(|index| format!("n{index}"));
        let times = names.map(|name| cpu_time(process, Threads::Named(&name)));
        let total = times.sum::<Option<Duration>>()?;
        let nodes = float(self.world.hosts.len() as u64);
        Some(total.as_secs_f64() / elapsed.as_secs_f64() / nodes)
    }
}

pub(crate) fn float(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
