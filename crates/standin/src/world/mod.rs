//! A small deployment in one process: nodes and the stand-ins around them.

mod deployment;
mod options;

use std::{
    io::{self, Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use tamarackdock_config::{
    Deployment,
    deployment::DataCentreState,
    settings::{Level, Log, Settings},
};
use tamarackdock_platform::{
    host::{Host, State},
    table::{Commit, Write},
    weight::Latest,
};
use tamarackdock_types::{DataCentreName, HostName, ServiceName, key::Hash, weight::Version};

pub use options::Options;

use crate::{
    bench::Bench,
    engine::{self, Engine},
    node::Node,
    plain::Plain,
    platform::Platform,
    trainer::{Trainer, Watch},
};

const POLL: Duration = Duration::from_millis(10);

/// Model that all engines of a world serve.
pub const MODEL: &str = "m";

/// A running deployment.
#[derive(Debug)]
pub struct World {
    /// Platform, with one address for each data centre.
    pub platform: Platform,
    /// Engines.
    pub engines: Vec<Engine>,
    /// Plain services.
    pub plain: Vec<Plain>,
    /// Nodes.
    pub hosts: Vec<Node>,
    options: Options,
    deployment: Deployment,
    version: u64,
}

impl World {
    /// Starts a deployment and waits until all of its nodes have the configuration.
    ///
    /// # Errors
    ///
    /// Returns the error of the first part that can't be started.
    pub fn spawn(options: Options) -> io::Result<Self> {
        let bench = Bench::spawn(
            options.seed,
            &options.data_centres(),
            options.engines.len(),
            &options.engine,
            options.plain.len(),
        )?;
        let engines: Vec<_> = bench.engines.iter().map(Engine::address).collect();
        let plain: Vec<_> = bench.plain.iter().map(Plain::address).collect();
        let deployment = deployment::build(&options, &engines, &plain).map_err(io::Error::other)?;
        let mut world = Self {
            platform: bench.platform,
            engines: bench.engines,
            plain: bench.plain,
            hosts: Vec::new(),
            options,
            deployment,
            version: 0,
        };
        world.set_weights(Version(1));
        world.submit();
        for index in 0..world.options.nodes.len() {
            world.add_node(index)?;
        }
        world.list_hosts();
        world.wait_until_active();
        Ok(world)
    }

    /// Waits until every node reports by its health check that it has a configuration.
    fn wait_until_active(&self) {
        self.nodes().into_iter().for_each(wait_until_healthy);
    }

    /// Returns the caller ports.
    #[must_use]
    pub fn nodes(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(|node| node.addresses().callers).collect()
    }

    /// Publishes a version in the weight store, and lets trainers count staleness from it.
    pub fn publish_weights(&mut self, version: Version, watch: &Watch) {
        watch.publish(version);
        self.set_weights(version);
    }

    /// Takes a data centre out or back in.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such data centre.
    pub fn set_data_centre(&mut self, name: &str, state: DataCentreState) -> io::Result<()> {
        let mut centres = self.deployment.data_centres.iter_mut();
        let centre = centres.find(|centre| centre.name.as_str() == name);
        centre.ok_or(io::ErrorKind::NotFound)?.state = state;
        self.submit();
        Ok(())
    }

    /// Withdraws a key.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such account.
    pub fn withdraw_key(&mut self, account: &str, key: &str) -> io::Result<()> {
        let hash = Hash::of(key.as_bytes());
        let mut accounts = self.deployment.accounts.iter_mut();
        let account = accounts.find(|known| known.name.as_str() == account);
        account.ok_or(io::ErrorKind::NotFound)?.keys.retain(|known| *known != hash);
        self.submit();
        Ok(())
    }

    /// Returns the number of calls that engines of a data centre have started.
    #[must_use]
    pub fn started_in(&self, data_centre: &str) -> u64 {
        let placed = self.engines.iter().zip(&self.options.engines);
        let there = placed.filter(|(_, (centre, _))| *centre == data_centre);
        there.map(|(engine, _)| engine.read(|records| records.started.len() as u64)).sum()
    }

    /// Returns the tokens that engines generated.
    #[must_use]
    pub fn generated_tokens(&self) -> u64 {
        self.engines.iter().map(|engine| engine.read(engine::Records::total_tokens)).sum()
    }

    /// Returns the requests at targets that carried a key.
    #[must_use]
    pub fn keys_seen(&self) -> u64 {
        self.engines.iter().map(|engine| engine.read(|records| records.authorized_requests)).sum()
    }

    /// Shuts all nodes down gracefully and waits for their end.
    pub fn shut_down(&self) {
        self.hosts.iter().for_each(Node::shut_down);
        while !self.hosts.iter().all(Node::is_finished) {
            std::thread::sleep(POLL);
        }
    }

    fn set_weights(&self, version: Version) {
        let service = ServiceName::new(MODEL).expect("a constant name");
        let latest = Latest { version, loads_per_second: 100.0 };
        self.platform.state().weights.insert(service, latest);
    }

    fn submit(&mut self) {
        self.version += 1;
        let version = self.version;
        let value =
            serde_json::to_string(&self.deployment).expect("a configuration has a JSON form");
        let head = serde_json::json!({ "version": version }).to_string();
        let commit = Commit {
            operation: format!("submit-{version}"),
            conditions: Vec::new(),
            writes: vec![
                Write { key: "config/head".into(), value: Some(head) },
                Write { key: format!("config/v/{version}"), value: Some(value) },
            ],
        };
        self.platform.state().table.commit(commit).expect("a commit without conditions");
    }

    fn add_node(&mut self, index: usize) -> io::Result<()> {
        let settings = self.settings(&format!("n{index}"), self.options.nodes[index])?;
        self.hosts.push(Node::spawn(settings)?);
        Ok(())
    }

    /// Returns the settings of a node of this world.
    ///
    /// # Errors
    ///
    /// Returns an error if the host's name is not valid or the data centre is unknown.
    pub fn settings(&self, host: &str, data_centre: &str) -> io::Result<Settings> {
        let level = if self.options.logs { Level::Debug } else { Level::Error };
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = self.platform.address(data_centre).ok_or(io::ErrorKind::NotFound)?;
        Ok(Settings {
            host: HostName::new(host).map_err(io::Error::other)?,
            data_centre: DataCentreName::new(data_centre).map_err(io::Error::other)?,
            caller_address: any,
            operator_address: any,
            peer_address: any,
            platform_address: platform,
            balancer_grace_ms: self.options.balancer_grace,
            drain_timeout_ms: Duration::from_secs(10),
            log: Log { level, ..Log::default() },
            policy: self.options.policy,
        })
    }

    fn list_hosts(&self) {
        let listed = self.hosts.iter().enumerate().map(|(index, node)| Host {
            name: HostName::new(&format!("n{index}")).expect("a constant name"),
            address: node.addresses().peers,
            data_centre: DataCentreName::new(self.options.nodes[index]).expect("a constant name"),
            state: State::Live,
        });
        self.platform.state().hosts.set(listed.collect());
    }
}

/// Waits until a node reports on its caller port that it takes work.
pub fn wait_until_healthy(address: SocketAddr) {
    while !is_healthy(address) {
        std::thread::sleep(POLL);
    }
}

fn is_healthy(address: SocketAddr) -> bool {
    let request = b"GET /healthz HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n";
    let mut answer = String::new();
    let asked = TcpStream::connect(address).and_then(|mut stream| {
        stream.write_all(request)?;
        stream.read_to_string(&mut answer)
    });
    asked.is_ok() && answer.starts_with("HTTP/1.1 200")
}

/// Returns the tokens that trainers received.
#[must_use]
pub fn received_tokens(trainers: &[Trainer]) -> u64 {
    trainers.iter().map(|trainer| trainer.read(|records| records.tokens)).sum()
}
