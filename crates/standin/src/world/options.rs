use std::time::Duration;

use tamarackdock_config::{deployment::Limits, settings::Policy};

use crate::engine;

/// Size of a world and behaviour of its parts.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seed of the stand-ins.
    pub seed: u64,
    /// Data centre of each node.
    pub nodes: Vec<&'static str>,
    /// Data centre of each engine and whether its role is training.
    pub engines: Vec<(&'static str, bool)>,
    /// Number of targets that are configured for each engine. More than one show the
    /// cost of many targets without a thread for each.
    pub targets_per_engine: usize,
    /// Indexes of the engines that are of the cheap class.
    pub cheap_engines: Vec<usize>,
    /// Data centre of each plain service.
    pub plain_services: Vec<&'static str>,
    /// Behaviour of the engines. Their `name` and `seed` are set by the world.
    pub engine: engine::Options,
    /// Client accounts and the weights of their shares. The only API key of each is its name
    /// followed by `-key`.
    pub accounts: Vec<(&'static str, u32)>,
    /// Trainers, each of which uses the client account of the same name.
    pub trainers: Vec<&'static str>,
    /// Staleness bound of the trainers in weight versions.
    pub staleness_bound: u64,
    /// Time for which a leaving node fails its health check before it closes its ports.
    pub balancer_grace: Duration,
    /// Policies in the nodes' settings.
    pub policy: Policy,
    /// Limits in the configuration.
    pub limits: Limits,
    /// Whether each target has a proxy in front, which can inject faults.
    pub proxied: bool,
    /// Whether nodes log at the level `debug`; otherwise they log errors only.
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
            cheap_engines: Vec::new(),
            plain_services: vec!["d1"],
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
    /// Returns the sorted names of the data centres of all engines and nodes.
    #[must_use]
    pub fn data_centres(&self) -> Vec<&'static str> {
        let engines = self.engines.iter().map(|(data_centre, _)| *data_centre);
        let mut all: Vec<_> = engines.chain(self.nodes.iter().copied()).collect();
        all.sort_unstable();
        all.dedup();
        all
    }
}
