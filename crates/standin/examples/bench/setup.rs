use std::{io, net::SocketAddr, time::Duration};

use standin::{
    engine::{self, Engine},
    resource::Node,
    world::{self, World, wait_until_healthy},
};
use tamarackdock_platform::host::{Host, State};
use tamarackdock_types::{DataCentreName, HostName};

/// Number of engines; several, so that the node is the bottleneck.
const ENGINES: usize = 4;
const ENGINE_CAPACITY: usize = 4096;
/// Exponent of the output lengths that leaves no tail: every answer has `min_tokens`.
const NO_TAIL: f64 = 1e9;

/// Key with which all calls are made.
pub(crate) const KEY: &str = "shop-key";

/// One node process and its engines, which have a fixed service time.
pub(crate) struct Setup {
    pub(crate) node: Node,
    pub(crate) world: World,
}

impl Setup {
    /// Starts a node whose engines answer with `tokens` tokens at `interval`.
    pub(crate) fn spawn(seed: u64, tokens: u64, interval: Duration) -> io::Result<Self> {
        let engine = engine::Options {
            capacity: ENGINE_CAPACITY,
            max_queued: 0,
            token_interval: interval,
            full_load_factor: 1.0,
            prefill_per_block: Duration::ZERO,
            min_tokens: tokens,
            tail_exponent: NO_TAIL,
            ..engine::Options::default()
        };
        let mut world = World::spawn(world::Options {
            seed,
            nodes: Vec::new(),
            engines: vec![("d1", false); ENGINES],
            engine,
            ..world::Options::default()
        })?;
        let node = Node::spawn(&world.settings("bench", "d1")?)?;
        world.platform.state().hosts.set(vec![Host {
            name: HostName::new("bench").expect("a constant name"),
            address: node.addresses().peers,
            data_centre: DataCentreName::new("d1").expect("a constant name"),
            state: State::Live,
        }]);
        world.submit_through(vec![node.addresses().operators])?;
        wait_until_healthy(node.addresses().callers);
        Ok(Self { node, world })
    }

    /// Returns the addresses of the engines, for calls that bypass the node.
    pub(crate) fn direct(&self) -> Vec<SocketAddr> {
        self.world.engines.iter().map(Engine::address).collect()
    }

    /// Returns the address of the node, for calls through it.
    pub(crate) fn through_node(&self) -> Vec<SocketAddr> {
        vec![self.node.addresses().callers]
    }
}
