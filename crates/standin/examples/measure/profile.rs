use std::time::Duration;

use standin::{engine, world};
use tamarackdock_config::settings::Policy;

const DATA_CENTRES: [&str; 3] = ["d1", "d2", "d3"];
const APP_ENGINES: usize = 3;
/// Every third training engine is cheap and can be reclaimed.
const CHEAP_INTERVAL: usize = 3;

/// Name, weight and concurrent calls of each app account.
pub(crate) const APPS: [(&str, u32, u64); 6] =
    [("a1", 4, 10), ("a2", 4, 10), ("a3", 1, 2), ("a4", 1, 2), ("a5", 1, 2), ("a6", 1, 2)];
/// Large account that sends a burst of extra calls during the run.
pub(crate) const FLOODING_ACCOUNT: &str = "a1";
pub(crate) const TRAINERS: [&str; 2] = ["t1", "t2"];
pub(crate) const STALENESS_BOUND: u64 = 1;

/// The size of a user's deployment. Its service times are scaled down.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Profile {
    pub(crate) name: &'static str,
    pub(crate) training_engines: usize,
    /// Groups of each step.
    pub(crate) groups: usize,
    pub(crate) group_size: usize,
}

impl Profile {
    /// Returns the profile with a name.
    pub(crate) fn named(name: &str) -> Option<Self> {
        match name {
            "knotwise" => {
                Some(Self { name: "knotwise", training_engines: 10, groups: 16, group_size: 4 })
            }
            "derwent" => {
                Some(Self { name: "derwent", training_engines: 12, groups: 24, group_size: 8 })
            }
            _ => None,
        }
    }

    /// Returns the data centre and role of each engine, with `true` for training.
    pub(crate) fn engines(&self) -> Vec<(&'static str, bool)> {
        let training = (0..self.training_engines).map(|_| true);
        let roles = training.chain((0..APP_ENGINES).map(|_| false));
        roles
            .zip(DATA_CENTRES.iter().cycle())
            .map(|(role, data_centre)| (*data_centre, role))
            .collect()
    }

    /// Returns the indexes of the cheap engines.
    pub(crate) fn cheap_engines(&self) -> Vec<usize> {
        (0..self.training_engines).step_by(CHEAP_INTERVAL).collect()
    }

    /// Returns the options of a world with the engines and accounts of the profile.
    pub(crate) fn world(&self, policy: Policy, seed: u64) -> world::Options {
        let trainers = TRAINERS.map(|name| (name, 2));
        let apps = APPS.map(|(name, weight, _)| (name, weight));
        world::Options {
            seed,
            nodes: DATA_CENTRES.into(),
            engines: self.engines(),
            cheap_engines: self.cheap_engines(),
            plain_services: Vec::new(),
            engine: engine_options(),
            accounts: trainers.into_iter().chain(apps).collect(),
            trainers: TRAINERS.into(),
            staleness_bound: STALENESS_BOUND,
            policy,
            ..world::Options::default()
        }
    }
}

fn engine_options() -> engine::Options {
    engine::Options {
        capacity: 16,
        max_queued: 64,
        token_interval: Duration::from_millis(4),
        full_load_factor: 2.0,
        prefill_per_block: Duration::from_millis(2),
        cache_blocks: 256,
        min_tokens: 8,
        tail_exponent: 1.2,
        cold_time: Duration::from_millis(1500),
        cold_capacity: 4,
        weight_load_time: Duration::from_millis(200),
        report_lag: Duration::from_millis(300),
        ..engine::Options::default()
    }
}
