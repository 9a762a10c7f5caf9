//! A small deployment in one process, which consists of nodes and the stand-ins that
//! they connect to.

mod deployment;
mod inspect;
mod operator;
mod options;
mod reports;

use std::{
    io::{self, Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use tamarackdock_config::{
    Deployment,
    deployment::DataCentreState,
    settings::{Level, Log, Policy, Settings},
};
use tamarackdock_platform::{
    host::{Host, State},
    weight::LatestWeights,
};
use tamarackdock_types::{DataCentreName, HostName, ServiceName, key::Hash, weight::Version};

pub use operator::Answer;
pub use options::Options;

use crate::{
    engine::{self, Engine},
    node::Node,
    plain::PlainService,
    platform::Platform,
    proxy::Proxy,
    stand_ins::StandIns,
    trainer::{Trainer, WeightVersions},
};

/// Interval at which conditions that are waited for are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Name of the model service that all engines of a world serve.
pub const MODEL: &str = "m";

/// A running deployment.
#[derive(Debug)]
pub struct World {
    /// Platform, with one address for each data centre.
    pub platform: Platform,
    /// Engines, in the order of the options.
    pub engines: Vec<Engine>,
    /// Plain services, in the order of the options.
    pub plain_services: Vec<PlainService>,
    /// Proxies in front of the engines, in their order; empty unless `proxied` is set.
    pub engine_proxies: Vec<Proxy>,
    /// Proxies in front of the plain services, in their order; empty unless `proxied` is
    /// set.
    pub plain_proxies: Vec<Proxy>,
    /// Nodes in the order in which they were started.
    pub nodes: Vec<Node>,
    /// Operators' ports of nodes that run outside this world, such as processes.
    operators: Vec<SocketAddr>,
    options: Options,
    deployment: Deployment,
    /// Number of the newest configuration that was accepted; 0 before the first.
    version: u64,
}

impl World {
    /// Starts a deployment and waits until all of its nodes have the configuration.
    ///
    /// # Errors
    ///
    /// Returns the error of the first part that can't be started.
    pub fn spawn(options: Options) -> io::Result<Self> {
        let stand_ins = StandIns::spawn(
            options.seed,
            &options.data_centres(),
            options.engines.len(),
            &options.engine,
            options.plain_services.len(),
        )?;
        let mut engines: Vec<_> = stand_ins.engines.iter().map(Engine::address).collect();
        let mut plain: Vec<_> =
            stand_ins.plain_services.iter().map(PlainService::address).collect();
        let engine_proxies = insert_proxies(&mut engines, options.proxied)?;
        let plain_proxies = insert_proxies(&mut plain, options.proxied)?;
        let deployment = deployment::build(&options, &engines, &plain).map_err(io::Error::other)?;
        let mut world = Self {
            platform: stand_ins.platform,
            engines: stand_ins.engines,
            plain_services: stand_ins.plain_services,
            engine_proxies,
            plain_proxies,
            nodes: Vec::new(),
            operators: Vec::new(),
            options,
            deployment,
            version: 0,
        };
        world.set_weights(Version(1));
        for index in 0..world.options.nodes.len() {
            world.add_node(index)?;
        }
        world.list_hosts();
        if !world.nodes.is_empty() {
            world.submit()?;
        }
        world.wait_until_configured();
        Ok(world)
    }

    /// Waits until the health check of every running node succeeds, which it does once the
    /// node has a configuration.
    fn wait_until_configured(&self) {
        let running = self.nodes.iter().filter(|node| !node.is_finished());
        running.map(|node| node.addresses().callers).for_each(wait_until_healthy);
    }

    /// Returns the addresses of the nodes' caller ports.
    #[must_use]
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.addresses().callers).collect()
    }

    /// Sends a request to the operators' port of a node and returns the answer.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection, or one of the kind `InvalidData` if
    /// the answer's body is not JSON.
    pub fn send_operator_request(
        &self,
        node: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> io::Result<Answer> {
        operator::send(self.nodes[node].addresses().operators, method, path, body)
    }

    /// Adds a node and waits until it has the configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if the node can't be started.
    pub fn start_node(&mut self, data_centre: &'static str) -> io::Result<()> {
        self.options.nodes.push(data_centre);
        self.add_node(self.options.nodes.len() - 1)?;
        self.list_hosts();
        self.wait_until_configured();
        Ok(())
    }

    /// Returns the policies of the nodes.
    #[must_use]
    pub fn policy(&self) -> Policy {
        self.options.policy
    }

    /// Publishes a version in the weight store, and sets it as the newest published version
    /// for trainers.
    pub fn publish_weights(&mut self, version: Version, weight_versions: &WeightVersions) {
        weight_versions.publish(version);
        self.set_weights(version);
    }

    /// Takes a data centre out of service or back in, by an operator's request.
    ///
    /// # Errors
    ///
    /// Returns an error if no node accepts the change.
    pub fn set_data_centre(&mut self, name: &str, state: DataCentreState) -> io::Result<()> {
        let action = if state == DataCentreState::In { "in" } else { "out" };
        self.submit_change("POST", &format!("/data-centres/{name}/{action}"), "")
    }

    /// Withdraws an API key of a client account, by an operator's request.
    ///
    /// # Errors
    ///
    /// Returns an error if no node accepts the change.
    pub fn withdraw_key(&mut self, account: &str, key: &str) -> io::Result<()> {
        let hash = Hash::of(key.as_bytes());
        self.submit_change("DELETE", &format!("/accounts/{account}/keys/{hash}"), "")
    }

    /// Returns the number of calls that have got a slot on engines of a data centre.
    #[must_use]
    pub fn calls_started_in(&self, data_centre: &str) -> u64 {
        let engines = self.engines.iter().zip(&self.options.engines);
        let local = engines.filter(|(_, (centre, _))| *centre == data_centre);
        local.map(|(engine, _)| engine.read(|records| records.started.len() as u64)).sum()
    }

    /// Returns the number of tokens that all engines have generated.
    #[must_use]
    pub fn generated_tokens(&self) -> u64 {
        self.engines.iter().map(|engine| engine.read(engine::Records::total_tokens)).sum()
    }

    /// Returns the number of requests to targets with an `authorization` header.
    #[must_use]
    pub fn requests_with_key(&self) -> u64 {
        let engines = self.engines.iter();
        let engines = engines.map(|engine| engine.read(|records| records.authorized_requests));
        let plain = self.plain_services.iter().map(|service| service.state().authorized_requests);
        engines.chain(plain).sum()
    }

    /// Starts another node and adds it to the host list, without waiting for its
    /// configuration.
    ///
    /// # Errors
    ///
    /// Returns the error of the node that can't be started.
    pub fn add_listed_node(&mut self, data_centre: &'static str) -> io::Result<()> {
        self.options.nodes.push(data_centre);
        self.add_node(self.nodes.len())?;
        self.list_hosts();
        Ok(())
    }

    /// Shuts all nodes down gracefully and waits for their end.
    pub fn shut_down(&self) {
        self.nodes.iter().for_each(Node::shut_down);
        while !self.nodes.iter().all(Node::is_finished) {
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn set_weights(&self, version: Version) {
        let service = ServiceName::new(MODEL).expect("a constant name");
        let latest = LatestWeights { version, loads_per_second: 100.0 };
        self.platform.state().weights.insert(service, latest);
    }

    /// Submits the configuration through nodes that run outside this world.
    ///
    /// # Errors
    ///
    /// Returns an error if none of the nodes accepts it.
    pub fn submit_through(&mut self, operators: Vec<SocketAddr>) -> io::Result<()> {
        self.operators = operators;
        self.submit()
    }

    /// Submits the configuration through the first node that accepts it. A repetition
    /// through another node has the same operation id and so the same result.
    fn submit(&mut self) -> io::Result<()> {
        let body = serde_json::to_string(&self.deployment).map_err(io::Error::other)?;
        let base = self.version;
        let path = format!("/config?base={base}&operation=world-{base}");
        self.submit_change("POST", &path, &body)
    }

    /// Sends a change of the configuration to one node after the other until one accepts it,
    /// and records the new version.
    fn submit_change(&mut self, method: &str, path: &str, body: &str) -> io::Result<()> {
        let own = self.nodes.iter().map(|node| node.addresses().operators);
        let ports: Vec<SocketAddr> = own.chain(self.operators.iter().copied()).collect();
        let answers = ports.into_iter().map(|port| operator::send(port, method, path, body));
        let mut last = None;
        for answer in answers {
            match answer {
                Ok(Answer { status: 200, body }) => {
                    self.version = body["version"].as_u64().unwrap_or(self.version);
                    return Ok(());
                }
                Ok(answer) => last = Some(io::Error::other(answer.body.to_string())),
                Err(error) => last = Some(error),
            }
        }
        Err(last.unwrap_or_else(|| io::ErrorKind::NotConnected.into()))
    }

    fn add_node(&mut self, index: usize) -> io::Result<()> {
        let settings = self.settings(&format!("n{index}"), self.options.nodes[index])?;
        self.nodes.push(Node::spawn(settings)?);
        Ok(())
    }

    /// Returns the settings of a node of this world.
    ///
    /// # Errors
    ///
    /// Returns an error if the host's name is not valid or the data centre is unknown.
    pub fn settings(&self, host: &str, data_centre: &str) -> io::Result<Settings> {
        let level = if self.options.logs { Level::Debug } else { Level::Error };
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = self.platform.address(data_centre).ok_or(io::ErrorKind::NotFound)?;
        Ok(Settings {
            host: HostName::new(host).map_err(io::Error::other)?,
            data_centre: DataCentreName::new(data_centre).map_err(io::Error::other)?,
            caller_address: any_port,
            operator_address: any_port,
            peer_address: any_port,
            platform_address: platform,
            balancer_grace_ms: self.options.balancer_grace,
            drain_timeout_ms: Duration::from_secs(10),
            log: Log { level, ..Log::default() },
            policy: self.options.policy,
        })
    }

    /// Sets the platform's host list to the running nodes.
    fn list_hosts(&self) {
        let running = self.nodes.iter().enumerate().filter(|(_, node)| !node.is_finished());
        let listed = running.map(|(index, node)| Host {
            name: HostName::new(&format!("n{index}")).expect("a constant name"),
            address: node.addresses().peers,
            data_centre: DataCentreName::new(self.options.nodes[index]).expect("a constant name"),
            state: State::Live,
        });
        self.platform.state().hosts.set(listed.collect());
    }
}

/// Starts a proxy in front of each target, if `proxied` is set, and replaces the target's
/// address by the proxy's.
fn insert_proxies(targets: &mut [SocketAddr], proxied: bool) -> io::Result<Vec<Proxy>> {
    let targets = targets.iter_mut().filter(|_| proxied);
    targets
        .map(|address| {
            let proxy = Proxy::spawn(*address)?;
            *address = proxy.address();
            Ok(proxy)
        })
        .collect()
}

/// Waits until the health check on a node's caller port succeeds, without a time limit.
pub fn wait_until_healthy(address: SocketAddr) {
    while !is_healthy(address) {
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Returns whether the health check on a node's caller port succeeds.
#[must_use]
pub fn is_healthy(address: SocketAddr) -> bool {
    let request = b"GET /healthz HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n";
    let mut answer = String::new();
    let result = TcpStream::connect(address).and_then(|mut stream| {
        stream.write_all(request)?;
        stream.read_to_string(&mut answer)
    });
    result.is_ok() && answer.starts_with("HTTP/1.1 200")
}

/// Returns the number of tokens that trainers have read.
#[must_use]
pub fn received_tokens(trainers: &[Trainer]) -> u64 {
    trainers.iter().map(|trainer| trainer.read(|records| records.tokens)).sum()
}
