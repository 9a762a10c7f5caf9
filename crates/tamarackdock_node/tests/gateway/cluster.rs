//! Nodes, engines, a store, and clients with the checks that hold under all faults.

use std::{
    collections::BTreeMap,
    env, fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use platform_standin::{
    Client, Engine, JobsRoute, Node, Outcome, Proxy, ProxyMode, Score, Store, expected_events,
    scoring_call, scoring_fails,
};
use serde_json::Value;

/// Time from the withdrawal of a key after which the key must not work.
pub(crate) const KEY_WITHDRAWAL_BOUND: Duration = Duration::from_secs(3);
/// Time in which a step must complete once all faults have ended: several times
/// the sum of a lease's duration, a takeover and the longest item.
const STEP_BOUND: Duration = Duration::from_secs(15);
const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);
pub(crate) const KEY: &str = "key-1";
pub(crate) const OLD_KEY: &str = "key-old";

/// Programs of the nodes: that of this build, and the one of another release that the variable
/// `TAMARACKDOCK_OTHER` names, if it is set.
#[derive(Debug, Clone)]
pub(crate) struct Programs {
    pub(crate) own: PathBuf,
    pub(crate) other: PathBuf,
}

impl Programs {
    pub(crate) fn of_environment() -> Self {
        let own = PathBuf::from(env!("CARGO_BIN_EXE_tamarackdock"));
        let other = env::var_os("TAMARACKDOCK_OTHER").map_or_else(|| own.clone(), PathBuf::from);
        Self { own, other }
    }

    /// Returns the other program for each second number.
    pub(crate) fn alternate(&self, number: usize) -> &Path {
        if number.is_multiple_of(2) { &self.own } else { &self.other }
    }
}

/// The processes and fakes of a small deployment.
pub(crate) struct Cluster {
    pub(crate) store: Store,
    pub(crate) engines: Vec<Engine>,
    pub(crate) services: Vec<Engine>,
    pub(crate) proxies: Vec<Proxy>,
    pub(crate) nodes: Vec<Node>,
    /// The store as each node reaches it.
    pub(crate) stores: Vec<Store>,
    /// The proxies between each node and the targets, if there are any.
    gates: Vec<Vec<Proxy>>,
    directory: PathBuf,
    version: u64,
}

impl Cluster {
    /// Starts nodes and fakes. A `seed` other than 0 turns on faults of the engines.
    pub(crate) fn start(name: &str, nodes: usize, seed: u64) -> Self {
        Self::start_with_gates(name, nodes, seed, 0)
    }

    /// Starts nodes that reach the targets through proxies, so that single ones can be cut off.
    pub(crate) fn start_gated(name: &str, nodes: usize, seed: u64) -> Self {
        Self::start_with_gates(name, nodes, seed, nodes)
    }

    /// Starts nodes of which the first `gated` ones reach the targets through proxies, which turn
    /// resets into closes.
    pub(crate) fn start_with_gates(name: &str, nodes: usize, seed: u64, gated: usize) -> Self {
        let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        // An earlier run may have left logs.
        let _ = fs::remove_dir_all(&directory);
        fs::create_dir_all(&directory).unwrap();
        let store = Store::start();
        let engine = |id: usize| Engine::start(&format!("llm-{id}"), "llm", "north", seed);
        let service = |id: usize| Engine::start(&format!("app-{id}"), "app", "north", seed);
        let mut cluster = Self {
            engines: (0..3).map(engine).collect(),
            services: (0..4).map(service).collect(),
            proxies: Vec::new(),
            nodes: Vec::new(),
            stores: Vec::new(),
            gates: Vec::new(),
            store,
            directory,
            version: 0,
        };
        cluster.configure(true);
        let targets = cluster.engines.iter().chain(&cluster.services);
        targets.for_each(|target| target.keep_registered(&cluster.store));
        for node in 0..nodes {
            let targets = cluster.engines.iter().chain(&cluster.services);
            let targets = targets.filter(|_| node < gated);
            let own: Vec<Proxy> =
                targets.clone().map(|target| Proxy::start(target.address())).collect();
            let addresses = targets.zip(&own);
            let addresses = addresses.map(|(target, gate)| (target.id.clone(), gate.address()));
            let store = cluster.store.with_engine_addresses(addresses.collect());
            cluster.proxies.push(Proxy::start(store.address()));
            cluster.stores.push(store);
            cluster.gates.push(own);
        }
        let programs = Programs::of_environment();
        cluster.nodes = (0..nodes)
            .map(|index| {
                let (name, store) = (format!("edge-{index}"), cluster.proxies[index].address());
                let program = programs.alternate(index);
                Node::start(program, &cluster.directory, &name, store, KEY_WITHDRAWAL_BOUND)
            })
            .collect();
        let seeds: Vec<SocketAddr> = cluster.nodes.iter().map(|node| node.peers).collect();
        cluster.nodes.iter_mut().for_each(|node| node.set_seeds(&seeds));
        cluster.wait_until_served();
        cluster
    }

    /// Adds services of another software version, which register at once.
    pub(crate) fn add_services(&mut self, count: usize, software: &'static str) {
        for number in 0..count {
            let service = Engine::start(&format!("app-{software}-{number}"), "app", "north", 0);
            service.install(software);
            service.keep_registered(&self.store);
            self.services.push(service);
        }
    }

    /// Writes the next configuration, with or without the old key.
    pub(crate) fn configure(&mut self, old_key: bool) {
        self.version += 1;
        let keys = if old_key { &[KEY, OLD_KEY][..] } else { &[KEY] };
        self.store.configure(self.version, keys);
    }

    /// Writes the next configuration, which has no route for batch jobs.
    pub(crate) fn withdraw_jobs(&mut self) {
        self.version += 1;
        self.store.configure_without_jobs(self.version, &[KEY]);
    }

    /// Writes the next configuration, with a changed route for batch jobs.
    pub(crate) fn change_jobs(&mut self, change: JobsRoute) {
        self.version += 1;
        self.store.configure_jobs(self.version, &[KEY], change);
    }

    /// Writes the next configuration, without client accounts.
    pub(crate) fn remove_accounts(&mut self) {
        self.version += 1;
        self.store.configure_without_accounts(self.version);
    }

    /// Writes the next configuration, with one more route for calls.
    pub(crate) fn add_route(&mut self, prefix: &str, service: &str) {
        self.version += 1;
        self.store.configure_with_route(self.version, &[KEY], prefix, service);
    }

    /// Changes the paths from some nodes to all targets.
    pub(crate) fn cut(&self, nodes: &[usize], mode: ProxyMode) {
        let gates = || nodes.iter().flat_map(|node| &self.gates[*node]);
        thread::scope(|scope| {
            for gate in gates() {
                scope.spawn(|| gate.block(mode));
            }
        });
        gates().for_each(|gate| gate.close(mode));
    }

    /// Changes the paths from all nodes to one of the engines or services, in this order.
    pub(crate) fn cut_target(&self, target: usize, mode: ProxyMode) {
        self.gates.iter().for_each(|gates| gates[target].set(mode));
    }

    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.callers).collect()
    }

    /// Waits until all nodes serve calls.
    pub(crate) fn wait_until_served(&self) {
        let mut client = Client::new(KEY, CLIENT_TIMEOUT);
        let until = Instant::now() + Duration::from_secs(10);
        for (index, address) in self.addresses().into_iter().enumerate() {
            while client.call(address, "/app/start", &format!("start-{index}")).status() != 200 {
                assert!(Instant::now() < until, "node {index} does not serve");
                thread::sleep(Duration::from_millis(20));
            }
        }
    }

    /// Returns how often each request was started at a target, by id.
    pub(crate) fn runs(&self) -> BTreeMap<String, usize> {
        let targets = self.engines.iter().chain(&self.services);
        targets.flat_map(Engine::runs).fold(BTreeMap::new(), |mut runs, run| {
            *runs.entry(run.id).or_default() += 1;
            runs
        })
    }

    /// Returns the lines with a text in the logs of all nodes.
    pub(crate) fn log_lines(&self, text: &str) -> Vec<String> {
        (0..self.nodes.len()).flat_map(|node| self.node_lines(node, text)).collect()
    }

    /// Returns the lines with a text in the logs of one node.
    pub(crate) fn node_lines(&self, node: usize, text: &str) -> Vec<String> {
        let prefix = format!("edge-{node}.");
        let entries = fs::read_dir(&self.directory).unwrap().map(|entry| entry.unwrap());
        let own = entries.filter(|entry| entry.file_name().to_string_lossy().starts_with(&prefix));
        let logs = own.map(|entry| entry.path());
        let logs = logs.filter(|path| path.extension().is_some_and(|kind| kind == "log"));
        let lines = logs.map(|path| fs::read_to_string(path).unwrap());
        let lines = lines.flat_map(|log| log.lines().map(str::to_owned).collect::<Vec<_>>());
        lines.filter(|line| line.contains(text)).collect()
    }

    /// Checks that no request showed a key or another client account to a target.
    pub(crate) fn check_runs(&self, violations: &Violations) {
        for run in self.engines.iter().chain(&self.services).flat_map(Engine::runs) {
            // Scoring calls belong to no client account.
            let expected = (!run.path.starts_with("/app/score/")).then_some("tenant");
            if run.key_seen || run.account.as_deref() != expected {
                violations.add(format!(
                    "request `{}` to `{}` ran with the account {:?}, and a key: {}",
                    run.id, run.path, run.account, run.key_seen
                ));
            }
        }
    }

    /// Checks that each completed result has the score of an answer to its own scoring call,
    /// sent after its text was complete, and that each aborted one had failed answers only.
    pub(crate) fn check_scores(&self, step: &Step, violations: &Violations) {
        let scores: Vec<Score> = self.services.iter().flat_map(Engine::scores).collect();
        for result in &step.results {
            let item = result["id"].as_str().unwrap_or_default();
            let call = scoring_call(item);
            let mut own = scores.iter().filter(|score| score.call == call && score.item == item);
            let complete = self.engines.iter().filter_map(|engine| engine.completion(item)).min();
            let is_after_text = |score: &Score| complete.is_some_and(|at| score.started_at >= at);
            let is_right = match result["score"].as_str() {
                Some(seal) => own
                    .any(|score| score.seal == seal && score.status == 200 && is_after_text(score)),
                None => scoring_fails(item) && own.filter(|score| score.status == 500).count() >= 3,
            };
            if !is_right {
                violations.add(format!("`{}` has a wrong score: {result}", step.job));
            }
        }
    }
}

/// Descriptions of broken promises, shared by all clients.
#[derive(Clone, Default)]
pub(crate) struct Violations(Arc<Mutex<Vec<String>>>);

impl Violations {
    pub(crate) fn add(&self, violation: String) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(violation);
    }

    pub(crate) fn all(&self) -> Vec<String> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Tells clients to stop.
#[derive(Clone, Default)]
pub(crate) struct StopFlag(Arc<AtomicBool>);

impl StopFlag {
    pub(crate) fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A trainer that requests steps one after the other, at changing nodes.
pub(crate) struct Trainer {
    pub(crate) name: String,
    pub(crate) nodes: Vec<SocketAddr>,
    pub(crate) store: Store,
    pub(crate) violations: Violations,
    client: Client,
    calls: usize,
}

/// A step with the results read so far, in delivery order.
pub(crate) struct Step {
    pub(crate) job: String,
    pub(crate) items: Vec<(String, String)>,
    pub(crate) results: Vec<Value>,
}

impl Trainer {
    pub(crate) fn new(
        name: &str,
        nodes: Vec<SocketAddr>,
        store: Store,
        violations: Violations,
    ) -> Self {
        let client = Client::new(KEY, CLIENT_TIMEOUT);
        Self { name: name.into(), nodes, store, violations, client, calls: 0 }
    }

    /// Returns nodes in turn, with a stride so that calls of one kind reach all of them.
    fn node(&mut self) -> SocketAddr {
        self.calls += 1;
        self.nodes[self.calls * 7 % self.nodes.len()]
    }

    /// Submits a step until it is accepted.
    pub(crate) fn submit(&mut self, number: u64, items: usize) -> Step {
        let min_version = (number / 2).max(1);
        self.store.publish(min_version + 1);
        let job = format!("{}-{number}", self.name);
        let items: Vec<(String, String)> =
            (0..items).map(|item| (format!("{job}-{item}"), format!("g{}", item / 4))).collect();
        loop {
            let node = self.node();
            match self.client.submit(node, &job, number, min_version, &items).status() {
                202 => return Step { job, items, results: Vec::new() },
                status @ 400..=499 => {
                    self.violations.add(format!("submission of `{job}` answered {status}"));
                    return Step { job, items, results: Vec::new() };
                }
                _ => thread::sleep(Duration::from_millis(50)),
            }
        }
    }

    /// Reads results until there are at least `wanted`, or the time is up.
    pub(crate) fn read(&mut self, step: &mut Step, wanted: usize, until: Instant) {
        while step.results.len() < wanted && Instant::now() < until {
            // Some reads start at an earlier position, where no result may change.
            let after = step.results.len().saturating_sub(self.calls % 3);
            let node = self.node();
            let outcome = self.client.results(node, &step.job, after);
            match outcome.status() {
                200 => self.add_page(step, after, &outcome.json()),
                404 => {
                    self.violations.add(format!("`{}` is unknown after its acceptance", step.job));
                }
                _ => thread::sleep(Duration::from_millis(30)),
            }
        }
    }

    fn add_page(&self, step: &mut Step, after: usize, page: &Value) {
        if page["total"].as_u64() != Some(step.items.len() as u64) {
            self.violations.add(format!("`{}` has a wrong total: {}", step.job, page["total"]));
        }
        for (offset, result) in page["results"].as_array().into_iter().flatten().enumerate() {
            match step.results.get(after + offset) {
                Some(known) if known == result => {}
                Some(_) => {
                    self.violations.add(format!("`{}` changed at {}", step.job, after + offset));
                }
                None => {
                    self.check_result(step, result);
                    step.results.push(result.clone());
                }
            }
        }
    }

    fn check_result(&self, step: &Step, result: &Value) {
        let id = result["id"].as_str().unwrap_or_default();
        let repeated = step.results.iter().any(|known| known["id"] == result["id"]);
        let requested = step.items.iter().any(|(item, _)| item == id);
        let (state, text) = if scoring_fails(id) {
            ("aborted", String::new())
        } else {
            ("completed", expected_events(id).join("\n"))
        };
        let complete = result["text"] == text && result["state"] == state;
        if repeated || !requested || !complete || result["score"].is_string() == scoring_fails(id) {
            self.violations.add(format!("`{}` has a wrong result: {result}", step.job));
        }
    }

    /// Reads a step to its end after all faults have ended.
    pub(crate) fn finish(&mut self, step: &mut Step) {
        self.read(step, step.items.len(), Instant::now() + STEP_BOUND);
        if step.results.len() < step.items.len() {
            let missing = step.items.len() - step.results.len();
            self.violations.add(format!("`{}` lacks {missing} results", step.job));
        }
    }

    /// Reads a step from its first position again and compares the results with
    /// those of the first reads.
    pub(crate) fn read_again(&mut self, step: &Step) {
        let mut again =
            Step { job: step.job.clone(), items: step.items.clone(), results: Vec::new() };
        self.read(&mut again, step.results.len(), Instant::now() + STEP_BOUND);
        let known = &step.results[..];
        if again.results.get(..known.len()) != Some(known) {
            self.violations.add(format!("`{}` was read with other results", step.job));
        }
    }

    /// Ends a step's job, with retries until a node confirms it.
    pub(crate) fn end(&mut self, step: &Step) {
        loop {
            let node = self.node();
            match self.client.end(node, &step.job).status() {
                200 => return,
                404 => return self.violations.add(format!("`{}` is unknown at its end", step.job)),
                _ => thread::sleep(Duration::from_millis(30)),
            }
        }
    }
}

/// A call of an app with its response status and the time at which it was sent.
pub(crate) struct CallRecord {
    pub(crate) id: String,
    pub(crate) status: u16,
    pub(crate) at: Instant,
}

/// Calls a route of a plain service until the stop flag is set, on kept-alive
/// connections.
pub(crate) fn call_until(
    stop: &StopFlag,
    nodes: &[SocketAddr],
    key: &str,
    path: &str,
    name: &str,
    violations: &Violations,
) -> Vec<CallRecord> {
    let mut client = Client::new(key, CLIENT_TIMEOUT);
    let mut calls = Vec::new();
    while !stop.is_set() {
        let id = format!("{name}-{}", calls.len());
        // Five calls in a row go to one node, on the same connection.
        let node = nodes[calls.len() / 5 % nodes.len()];
        let at = Instant::now();
        let outcome = client.call(node, path, &id);
        if let Outcome::Answer { status: 200, id: response_id, body } = &outcome {
            let complete = *body == format!("answer to {id}").into_bytes();
            if response_id.as_deref() != Some(&id) || !complete {
                violations.add(format!("call `{id}` got another answer"));
            }
        }
        calls.push(CallRecord { id, status: outcome.status(), at });
        thread::sleep(Duration::from_millis(7));
    }
    calls
}
