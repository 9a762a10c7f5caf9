use std::{
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    thread,
    time::{Duration, Instant},
};

use tamarackdock_config::settings::{Level, Log, Settings};
use tamarackdock_platform::host::{Host, State};
use tamarackdock_types::{DataCentreName, HostName};

use super::Node;
use crate::{
    proxy::Proxy,
    world::{self, World},
};

/// Interval at which health checks are repeated.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Longest time for a node to get its first configuration.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Setting `drain_timeout_ms` of the nodes.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(20);

/// Node processes and the stand-ins of a world. A proxy in front of each node's caller
/// port takes the place of the load balancer.
#[derive(Debug)]
pub struct Cluster {
    /// Stand-ins of the cluster. Nodes run as processes and not in this world.
    pub world: World,
    /// Node processes, named `n0`, `n1` and so on.
    pub nodes: Vec<Node>,
    /// Proxies in front of the caller ports, in the order of the nodes.
    pub load_balancers: Vec<Proxy>,
    program: PathBuf,
    data_centres: Vec<&'static str>,
    balancer_grace: Duration,
}

impl Cluster {
    /// Starts the stand-ins and a process for each of the options' nodes, and waits until
    /// all nodes have the configuration.
    ///
    /// # Errors
    ///
    /// Returns the error of the first part that can't be started, or `TimedOut` if a node
    /// does not get the configuration in time.
    pub fn spawn(program: &Path, mut options: world::Options) -> io::Result<Self> {
        let data_centres = std::mem::take(&mut options.nodes);
        let balancer_grace = options.balancer_grace;
        let mut cluster = Self {
            world: World::spawn(options)?,
            nodes: Vec::new(),
            load_balancers: Vec::new(),
            program: program.into(),
            data_centres,
            balancer_grace,
        };
        for index in 0..cluster.data_centres.len() {
            let node = cluster.start(index)?;
            cluster.load_balancers.push(Proxy::spawn(node.addresses().callers)?);
            cluster.nodes.push(node);
        }
        cluster.list_hosts();
        let operators = cluster.nodes.iter().map(|node| node.addresses().operators).collect();
        cluster.world.submit_through(operators)?;
        cluster.wait_until_healthy()?;
        Ok(cluster)
    }

    /// Returns the addresses at which callers reach the nodes.
    #[must_use]
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.load_balancers.iter().map(Proxy::address).collect()
    }

    /// Replaces a node by a new process, kills the former one if it still runs, and
    /// forwards callers to the new one once it is healthy.
    ///
    /// # Errors
    ///
    /// Returns the error of the process that can't be started, or `TimedOut` if a node is not
    /// healthy in time.
    pub fn replace(&mut self, index: usize) -> io::Result<()> {
        self.nodes[index] = self.start(index)?;
        self.list_hosts();
        self.wait_until_healthy()?;
        self.load_balancers[index].set_target(self.nodes[index].addresses().callers);
        Ok(())
    }

    /// Forwards new connections for one node to another, as the load balancer does when a
    /// node's health check fails.
    pub fn redirect_callers(&self, from: usize, to: usize) {
        self.load_balancers[from].set_target(self.nodes[to].addresses().callers);
    }

    /// Returns whether a node's health check succeeds.
    #[must_use]
    pub fn is_healthy(&self, index: usize) -> bool {
        world::is_healthy(self.nodes[index].addresses().callers)
    }

    fn start(&self, index: usize) -> io::Result<Node> {
        let data_centre = self.data_centres[index];
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = self.world.platform.address(data_centre);
        let settings = Settings {
            host: HostName::new(&format!("n{index}")).map_err(io::Error::other)?,
            data_centre: DataCentreName::new(data_centre).map_err(io::Error::other)?,
            caller_address: any_port,
            operator_address: any_port,
            peer_address: any_port,
            platform_address: platform.ok_or(io::ErrorKind::NotFound)?,
            balancer_grace_ms: self.balancer_grace,
            drain_timeout_ms: DRAIN_TIMEOUT,
            log: Log { level: Level::Error, ..Log::default() },
            policy: self.world.policy(),
        };
        Node::spawn(&self.program, &settings)
    }

    /// Sets the platform's host list to the current nodes.
    fn list_hosts(&self) {
        let listed = self.nodes.iter().enumerate().map(|(index, node)| Host {
            name: HostName::new(&format!("n{index}")).expect("a constant name"),
            address: node.addresses().peers,
            data_centre: DataCentreName::new(self.data_centres[index]).expect("a constant name"),
            state: State::Live,
        });
        self.world.platform.state().hosts.set(listed.collect());
    }

    fn wait_until_healthy(&self) -> io::Result<()> {
        let start = Instant::now();
        while !(0..self.nodes.len()).all(|index| self.is_healthy(index)) {
            if start.elapsed() > START_TIMEOUT {
                return Err(io::ErrorKind::TimedOut.into());
            }
            thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }
}
