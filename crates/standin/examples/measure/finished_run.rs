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
    cost::Cost,
    histogram::{collect, millis, quantile},
    measurements::Measurements,
    profile::Profile,
    usage_reports::UsageReports,
    workload::Workload,
};

/// Latency above which an app call counts as slow.
const SLOW_MS: u64 = 1000;
const PLOT_QUANTILES: [f64; 9] = [0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.98, 0.99, 0.999];

/// App calls from the start of the run to one moment.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct CallCounts {
    answered: u64,
    slow: u64,
    failed: u64,
}

impl CallCounts {
    /// Counts the calls of all apps except the flood.
    pub(crate) fn count(workload: &Workload) -> Self {
        let mut calls = Self::default();
        for (_, app) in &workload.apps {
            app.read(|records| {
                let slow = Duration::from_millis(SLOW_MS);
                calls.answered += records.answered;
                calls.slow += records.latencies.iter().filter(|time| **time > slow).count() as u64;
                calls.failed += records.refusals.values().sum::<u64>() + records.lost_connections;
            });
        }
        calls
    }
}

/// The inputs of the measurements at the end of a run.
pub(crate) struct FinishedRun<'a> {
    pub(crate) world: &'a World,
    pub(crate) workload: &'a Workload,
    pub(crate) profile: &'a Profile,
    pub(crate) cost: &'a Cost,
    /// Calls up to the moment when the data centre was taken out, and up to the moment
    /// when it had recovered.
    pub(crate) out_period: [CallCounts; 2],
    pub(crate) begin: Instant,
}

impl FinishedRun<'_> {
    /// Computes the measurements.
    pub(crate) fn measurements(&self, name: &str, seed: u64) -> Measurements {
        let elapsed = self.begin.elapsed();
        let accounts = Accounts::read(self.workload);
        let apps = accounts.latencies();
        let (steps, ages) = (self.step_times(), self.sample_ages());
        let [at_out, at_recovery] = self.out_period;
        let tokens = self.tokens_delivered();
        let attempts = Attempts::count(self.world, self.workload);
        Measurements {
            scenario: self.profile.name,
            policy: name.into(),
            seed,
            seconds: elapsed.as_secs_f64(),
            trainer_idle_share: self.idle_share(elapsed),
            staleness_mean: self.has_weight_loads().then(|| ages.mean()),
            staleness_p99: quantile(&ages, 0.99).filter(|_| self.has_weight_loads()),
            steps: steps.len(),
            step_p50_ms: quantile(&steps, 0.5),
            step_p99_ms: quantile(&steps, 0.99),
            violations: self.read_trainers(|records| records.violations.len()).iter().sum(),
            app_calls: accounts.calls(),
            app_failed: CallCounts::count(self.workload).failed,
            app_p50_ms: quantile(&apps, 0.5),
            app_p99_ms: quantile(&apps, 0.99),
            worst_account: accounts.worst().map(|(name, _)| name),
            worst_account_p99_ms: accounts.worst().map(|(_, p99)| p99),
            worst_to_median_p99: accounts.worst_to_median(),
            least_success_share: accounts.least_success_share(),
            out_app_failed: at_recovery.failed - at_out.failed,
            out_app_slow: at_recovery.slow - at_out.slow,
            out_app_calls: at_recovery.answered + at_recovery.failed
                - at_out.answered
                - at_out.failed,
            cost_per_million_tokens: (tokens > 0).then(|| self.cost.cost() / (float(tokens) / 1e6)),
            app_refusals: self.app_refusals(),
            orders: Cost::orders(self.world),
            tokens_delivered: tokens,
            cheap_token_share: self.cheap_token_share(),
            attempts_per_call: attempts.per_call(),
            attempts_per_app_call: attempts.per_app_call(),
            attempts_per_sample: attempts.per_sample(),
            unused_sample_token_share: attempts.unused_token_share(),
            engine_crashes: self.read_engines(|records| records.crashes).iter().sum(),
            reports: UsageReports::default(),
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

    fn read_trainers<T>(&self, read: impl Fn(&standin::trainer::Records) -> T) -> Vec<T> {
        self.workload.trainers.iter().map(|trainer| trainer.read(&read)).collect()
    }

    fn read_engines<T>(&self, read: impl Fn(&EngineRecords) -> T) -> Vec<T> {
        self.world.engines.iter().map(|engine| engine.read(&read)).collect()
    }

    /// Returns the mean share of time in which a trainer did not compute.
    fn idle_share(&self, elapsed: Duration) -> f64 {
        let compute = self.read_trainers(|records| records.compute_time.as_secs_f64());
        let count = f64::from(u32::try_from(compute.len()).unwrap_or(u32::MAX));
        1.0 - compute.iter().sum::<f64>() / (elapsed.as_secs_f64() * count)
    }

    fn step_times(&self) -> Histogram<u64> {
        let steps = self.read_trainers(|records| records.step_wait_times.clone()).concat();
        collect(steps.into_iter().map(millis))
    }

    fn sample_ages(&self) -> Histogram<u64> {
        collect(self.read_trainers(|records| records.ages.clone()).concat())
    }

    fn has_weight_loads(&self) -> bool {
        self.read_engines(|records| records.weight_loads.iter().any(|load| load.3)).contains(&true)
    }

    /// Returns the tokens of delivered samples and of complete app answers.
    pub(crate) fn tokens_delivered(&self) -> u64 {
        let samples: u64 = self.read_trainers(|records| records.tokens).iter().sum();
        let apps = self.workload.apps.iter().map(|(_, app)| app.read(|records| records.tokens));
        samples + apps.sum::<u64>()
    }

    fn app_refusals(&self) -> Vec<(String, u64)> {
        let mut sums = BTreeMap::<String, u64>::new();
        for (_, app) in &self.workload.apps {
            app.read(|records| {
                for ((code, ran), count) in &records.refusals {
                    *sums.entry(format!("{code}, ran {ran}")).or_default() += count;
                }
            });
        }
        sums.into_iter().collect()
    }

    fn cheap_token_share(&self) -> Option<f64> {
        let tokens = self.read_engines(EngineRecords::total_tokens);
        let cheap: u64 = self.profile.cheap_engines().into_iter().map(|index| tokens[index]).sum();
        let all: u64 = tokens.iter().sum();
        (all > 0).then(|| float(cheap) / float(all))
    }

    fn node_cpu_share(&self, elapsed: Duration) -> Option<f64> {
        let process = std::process::id();
        let names = (0..self.world.nodes.len()).map(|index| format!("n{index}"));
        let times = names.map(|name| cpu_time(process, Threads::Named(&name)));
        let total = times.sum::<Option<Duration>>()?;
        let node_count = float(self.world.nodes.len() as u64);
        Some(total.as_secs_f64() / elapsed.as_secs_f64() / node_count)
    }
}

pub(crate) fn float(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
