use std::{io, time::Duration};

use standin::{
    app::{self, App},
    proxy::Proxy,
    resource::{Node, Threads, cpu_time, resident_bytes},
    world::{self, World, wait_until_healthy},
};
use tamarackdock_config::settings::Settings;
use tamarackdock_platform::host::{Host, State};

/// Engines that run. All configured targets share their addresses.
const ENGINES: usize = 15;
const DATA_CENTRES: [&str; 3] = ["d1", "d2", "d3"];

/// Node processes and their world. Each node connects to the platform through a proxy
/// that counts the bytes.
pub(crate) struct Fleet {
    nodes: Vec<Node>,
    proxies: Vec<Proxy>,
    pub(crate) world: World,
}

impl Fleet {
    /// Starts nodes without calls. `targets` must be a multiple of `ENGINES`.
    pub(crate) fn spawn(seed: u64, nodes: usize, targets: usize) -> io::Result<Self> {
        let data_centres = DATA_CENTRES.iter().copied().cycle();
        let world = World::spawn(world::Options {
            seed,
            nodes: Vec::new(),
            engines: data_centres
                .clone()
                .map(|data_centre| (data_centre, true))
                .take(ENGINES)
                .collect(),
            targets_per_engine: targets / ENGINES,
            plain_services: Vec::new(),
            ..world::Options::default()
        })?;
        let mut fleet = Self { nodes: Vec::new(), proxies: Vec::new(), world };
        let mut hosts = Vec::new();
        for (index, data_centre) in data_centres.take(nodes).enumerate() {
            let settings = fleet.world.settings(&format!("n{index}"), data_centre)?;
            hosts.push(fleet.add_node(settings)?);
        }
        fleet.world.platform.state().hosts.set(hosts);
        // Nodes are healthy only once they have a configuration.
        let operators = fleet.nodes.iter().map(|node| node.addresses().operators);
        fleet.world.submit_through(operators.collect())?;
        for node in &fleet.nodes {
            wait_until_healthy(node.addresses().callers);
        }
        Ok(fleet)
    }

    fn add_node(&mut self, settings: Settings) -> io::Result<Host> {
        let platform = Proxy::spawn(settings.platform_address)?;
        let settings = Settings { platform_address: platform.address(), ..settings };
        let node = Node::spawn(&settings)?;
        let address = node.addresses().peers;
        self.proxies.push(platform);
        self.nodes.push(node);
        Ok(Host {
            name: settings.host,
            address,
            data_centre: settings.data_centre,
            state: State::Live,
        })
    }

    /// Starts callers that make about `calls` calls per second at each node.
    pub(crate) fn spawn_app(&self, calls: u64) -> io::Result<App> {
        App::spawn(app::Options {
            key: "shop-key".into(),
            nodes: self.nodes.iter().map(|node| node.addresses().callers).collect(),
            questions: u64::MAX,
            callers: calls * self.nodes.len() as u64,
            pause: Duration::from_secs(1),
            ..app::Options::default()
        })
    }

    /// Returns the CPU time of all nodes together.
    pub(crate) fn cpu_time(&self) -> Duration {
        let times = self.nodes.iter().filter_map(|node| cpu_time(node.id(), Threads::All));
        times.sum()
    }

    /// Returns the resident memory of all nodes together, in bytes.
    pub(crate) fn resident_bytes(&self) -> u64 {
        self.nodes.iter().filter_map(|node| resident_bytes(node.id())).sum()
    }

    /// Returns the bytes between nodes and platform. Bytes between nodes are not
    /// counted: members announce the addresses of their own ports to each other, so
    /// these connections bypass any proxy.
    pub(crate) fn platform_bytes(&self) -> u64 {
        let counts = self.proxies.iter().map(Proxy::counts);
        counts.map(|counts| counts.bytes_to_target + counts.bytes_to_caller).sum()
    }
}
