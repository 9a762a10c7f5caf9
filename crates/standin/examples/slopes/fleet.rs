use std::{io, time::Duration};

use standin::{
    proxy::Proxy,
    resource::{Node, Threads, cpu_time, resident_bytes},
    world::{self, World, wait_until_healthy},
};
use tamarackdock_config::settings::Settings;
use tamarackdock_platform::host::{Host, State};

/// Engines that run; all targets share them.
const ENGINES: usize = 15;
const DATA_CENTRES: [&str; 3] = ["d1", "d2", "d3"];

/// Node processes whose connections to the platform and to each other pass
/// through proxies, which count bytes.
pub(crate) struct Fleet {
    nodes: Vec<Node>,
    proxies: Vec<Proxy>,
    pub(crate) world: World,
}

impl Fleet {
    /// Starts nodes without calls. `targets` is a multiple of the engines.
    pub(crate) fn spawn(seed: u64, nodes: usize, targets: usize) -> io::Result<Self> {
        let centres = DATA_CENTRES.iter().copied().cycle();
        let world = World::spawn(world::Options {
            seed,
            nodes: Vec::new(),
            engines: centres.clone().map(|centre| (centre, true)).take(ENGINES).collect(),
            targets_per_engine: targets / ENGINES,
            plain: Vec::new(),
            ..world::Options::default()
        })?;
        let mut fleet = Self { nodes: Vec::new(), proxies: Vec::new(), world };
        let mut hosts = Vec::new();
        for (index, centre) in centres.take(nodes).enumerate() {
            let settings = fleet.world.settings(&format!("n{index}"), centre)?;
            hosts.push(fleet.add_node(settings)?);
        }
        fleet.world.platform.state().hosts.set(hosts);
        let operators = fleet.nodes.iter().map(|node| node.addresses().operators).collect();
        fleet.world.submit_through(operators)?;
        for node in &fleet.nodes {
            wait_until_healthy(node.addresses().callers);
        }
        Ok(fleet)
    }

    fn add_node(&mut self, settings: Settings) -> io::Result<Host> {
        let platform = Proxy::spawn(settings.platform_address)?;
        let settings = Settings { platform_address: platform.address(), ..settings };
        let node = Node::spawn(&settings)?;
        let peers = Proxy::spawn(node.addresses().peers)?;
        let address = peers.address();
        self.proxies.extend([platform, peers]);
        self.nodes.push(node);
        Ok(Host {
            name: settings.host,
            address,
            data_centre: settings.data_centre,
            state: State::Live,
        })
    }

    /// Returns the CPU time of all nodes.
    pub(crate) fn cpu_time(&self) -> Duration {
        let times = self.nodes.iter().filter_map(|node| cpu_time(node.id(), Threads::All));
        times.sum()
    }

    /// Returns the resident memory of all nodes, in bytes.
    pub(crate) fn resident_bytes(&self) -> u64 {
        self.nodes.iter().filter_map(|node| resident_bytes(node.id())).sum()
    }

    /// Returns the bytes that nodes sent and received on these connections.
    /// Bytes between nodes are counted once.
    pub(crate) fn bytes(&self) -> u64 {
        let counts = self.proxies.iter().map(Proxy::counts);
        counts.map(|counts| counts.sent + counts.returned).sum()
    }
}
