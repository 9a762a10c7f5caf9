use std::time::Duration;

use tamarackdock_config::{deployment::Limits, settings::Policy};

use crate::engine;

/// Size and behaviour of a world.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seed of the stand-ins.
    pub seed: u64,
    /// Data centre of each node.
    pub nodes: Vec<&'static str>,
    /// Data centre and role of each engine, with `true` for training.
    pub engines: Vec<(&'static str, bool)>,
    /// Targets that are configured for each engine. More than one show the cost
    /// of many targets without a thread for each.
    pub targets_per_engine: usize,
    /// Positions of the engines that are of the cheap class.
    pub cheap: Vec<usize>,
    /// Data centre of each plain service.
    pub plain: Vec<&'static str>,
    /// Behaviour of the engines.
    pub engine: engine::Options,
    /// Client accounts with the weights of their shares. Each has one key, its name followed by `-key`.
    pub accounts: Vec<(&'static str, u32)>,
    /// Trainers, each with an account of its own name.
    pub trainers: Vec<&'static str>,
    /// Largest number of versions by which a sample may be old.
    pub staleness_bound: u64,
    /// How long a leaving node fails its health check before its ports close.
    pub balancer_grace: Duration,
    /// Policies of the nodes.
    pub policy: Policy,
    /// Bounds in the configuration.
    pub limits: Limits,
    /// Whether a proxy with switchable faults stands before each target.
    pub proxied: bool,
    /// Whether nodes log.
    pub logs: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            seed: 1,
            nodes: vec!["d1", "d2", "d1"],
            engines: vec![
                ("d1", true),
                ("d1", true),
                ("d1", false),
                ("d2", true),
                ("d2", true),
                ("d2", false),
            ],
            targets_per_engine: 1,
            cheap: Vec::new(),
            plain: vec!["d1"],
            engine: engine::Options::default(),
            accounts: vec![("t1", 1), ("t2", 1), ("shop", 2), ("courier", 1)],
            trainers: vec!["t1", "t2"],
            staleness_bound: 1,
            balancer_grace: Duration::from_millis(200),
            policy: Policy::default(),
            limits: Limits::default(),
            proxied: false,
            logs: false,
        }
    }
}

impl Options {
    /// Returns the names of the data centres.
    #[must_use]
    pub fn data_centres(&self) -> Vec<&'static str> {
        let engines = self.engines.iter().map(|(data_centre, _)| *data_centre);
        let mut all: Vec<_> = engines.chain(self.nodes.iter().copied()).collect();
        all.sort_unstable();
        all.dedup();
        all
    }
}
