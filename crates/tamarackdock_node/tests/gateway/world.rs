//! Nodes, engines, a store and the checks that hold whatever happens.

use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use platform_standin::{Client, Engine, Node, Outcome, Proxy, Store, text_of};
use serde_json::Value;

/// Time after which a withdrawn key must not work.
pub(crate) const WITHDRAWN_KEY: Duration = Duration::from_secs(3);
/// Time in which a step must end once all faults have ended: lease terms, a
/// take-over and the longest item, several times over.
const CALM_STEP: Duration = Duration::from_secs(15);
const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);
pub(crate) const KEY: &str = "key-1";
pub(crate) const OLD_KEY: &str = "key-old";

/// The parts of a small deployment.
pub(crate) struct World {
    pub(crate) store: Store,
    pub(crate) engines: Vec<Engine>,
    pub(crate) services: Vec<Engine>,
    pub(crate) proxies: Vec<Proxy>,
    pub(crate) nodes: Vec<Node>,
    directory: PathBuf,
    version: u64,
}

impl World {
    /// Starts nodes; a `seed` other than 0 turns faults of engines on.
    pub(crate) fn start(name: &str, nodes: usize, seed: u64) -> Self {
        let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        // An earlier run may have left logs.
        let _ = fs::remove_dir_all(&directory);
        fs::create_dir_all(&directory).unwrap();
        let store = Store::start();
        let engine = |id: usize| Engine::start(&format!("llm-{id}"), "llm", "north", seed);
        let service = |id: usize| Engine::start(&format!("app-{id}"), "app", "north", seed);
        let mut world = Self {
            engines: (0..3).map(engine).collect(),
            services: (0..4).map(service).collect(),
            proxies: (0..nodes).map(|_| Proxy::start(store.address())).collect(),
            nodes: Vec::new(),
            store,
            directory,
            version: 0,
        };
        world.configure(true);
        let targets = world.engines.iter().chain(&world.services);
        targets.for_each(|target| target.keep_registered(&world.store));
        let program = Path::new(env!("CARGO_BIN_EXE_tamarackdock"));
        world.nodes = (0..nodes)
            .map(|index| {
                let (name, store) = (format!("edge-{index}"), world.proxies[index].address());
                Node::start(program, &world.directory, &name, store, WITHDRAWN_KEY)
            })
            .collect();
        world.wait_until_served();
        world
    }

    /// Writes the next configuration, with or without the old key.
    pub(crate) fn configure(&mut self, old_key: bool) {
        self.version += 1;
        let keys = if old_key { &[KEY, OLD_KEY][..] } else { &[KEY] };
        self.store.configure(self.version, keys);
    }

    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.callers).collect()
    }

    fn wait_until_served(&self) {
        let mut client = Client::new(KEY, CLIENT_TIMEOUT);
        let until = Instant::now() + Duration::from_secs(10);
        for (index, address) in self.addresses().into_iter().enumerate() {
            while client.call(address, "/app/start", &format!("start-{index}")).status() != 200 {
                assert!(Instant::now() < until, "node {index} does not serve");
                thread::sleep(Duration::from_millis(20));
            }
        }
    }

    /// Returns when each request began at a target, by id.
    pub(crate) fn runs(&self) -> BTreeMap<String, usize> {
        let targets = self.engines.iter().chain(&self.services);
        targets.flat_map(Engine::runs).fold(BTreeMap::new(), |mut runs, run| {
            *runs.entry(run.id).or_default() += 1;
            runs
        })
    }

    /// Checks what no request may show: a key, or another client account.
    pub(crate) fn check_runs(&self, faults: &Faults) {
        for run in self.engines.iter().chain(&self.services).flat_map(Engine::runs) {
            if run.key_seen || run.account.as_deref() != Some("tenant") {
                faults.add(format!("request `{}` ran with the wrong account or a key", run.id));
            }
        }
    }
}

/// Broken promises, shared by all clients.
#[derive(Clone, Default)]
pub(crate) struct Faults(Arc<Mutex<Vec<String>>>);

impl Faults {
    pub(crate) fn add(&self, fault: String) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(fault);
    }

    pub(crate) fn all(&self) -> Vec<String> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Whether clients go on.
#[derive(Clone, Default)]
pub(crate) struct Stop(Arc<AtomicBool>);

impl Stop {
    pub(crate) fn raise(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_raised(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A trainer that asks for steps one after the other, at changing nodes.
pub(crate) struct Trainer {
    pub(crate) name: String,
    pub(crate) nodes: Vec<SocketAddr>,
    pub(crate) store: Store,
    pub(crate) faults: Faults,
    client: Client,
    calls: usize,
}

/// A step with all its results, in their order.
pub(crate) struct Step {
    pub(crate) job: String,
    pub(crate) items: Vec<(String, String)>,
    pub(crate) results: Vec<Value>,
}

impl Trainer {
    pub(crate) fn new(name: &str, nodes: Vec<SocketAddr>, store: Store, faults: Faults) -> Self {
        let client = Client::new(KEY, CLIENT_TIMEOUT);
        Self { name: name.into(), nodes, store, faults, client, calls: 0 }
    }

    /// Returns nodes in turn, with a stride so that calls of one kind meet all of them.
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
                    self.faults.add(format!("submission of `{job}` answered {status}"));
                    return Step { job, items, results: Vec::new() };
                }
                _ => thread::sleep(Duration::from_millis(50)),
            }
        }
    }

    /// Reads results until there are at least `wanted`, or the time is up.
    pub(crate) fn read(&mut self, step: &mut Step, wanted: usize, until: Instant) {
        while step.results.len() < wanted && Instant::now() < until {
            // Now and then from an earlier position, where nothing may change.
            let after = step.results.len().saturating_sub(self.calls % 3);
            let node = self.node();
            let outcome = self.client.results(node, &step.job, after);
            match outcome.status() {
                200 => self.take(step, after, &outcome.json()),
                404 => self.faults.add(format!("`{}` is unknown after its acceptance", step.job)),
                _ => thread::sleep(Duration::from_millis(30)),
            }
        }
    }

    fn take(&self, step: &mut Step, after: usize, page: &Value) {
        if page["total"].as_u64() != Some(step.items.len() as u64) {
            self.faults.add(format!("`{}` has a wrong total: {}", step.job, page["total"]));
        }
        for (offset, result) in page["results"].as_array().into_iter().flatten().enumerate() {
            match step.results.get(after + offset) {
                Some(known) if known == result => {}
                Some(_) => self.faults.add(format!("`{}` changed at {}", step.job, after + offset)),
                None => {
                    self.check(step, result);
                    step.results.push(result.clone());
                }
            }
        }
    }

    fn check(&self, step: &Step, result: &Value) {
        let id = result["id"].as_str().unwrap_or_default();
        let listed = step.results.iter().any(|known| known["id"] == result["id"]);
        let own = step.items.iter().any(|(item, _)| item == id);
        let whole = result["text"].as_str() == Some(&text_of(id).join("\n"));
        if listed || !own || !whole || result["state"] != "completed" {
            self.faults.add(format!("`{}` has a wrong result: {result}", step.job));
        }
    }

    /// Reads a step to its end after all faults have ended.
    pub(crate) fn finish(&mut self, step: &mut Step) {
        self.read(step, step.items.len(), Instant::now() + CALM_STEP);
        if step.results.len() < step.items.len() {
            let missing = step.items.len() - step.results.len();
            self.faults.add(format!("`{}` lacks {missing} results", step.job));
        }
    }

    /// Reads a step from its first position and compares it with what was read.
    pub(crate) fn read_again(&mut self, step: &Step) {
        let mut again =
            Step { job: step.job.clone(), items: step.items.clone(), results: Vec::new() };
        self.read(&mut again, step.results.len(), Instant::now() + CALM_STEP);
        let known = &step.results[..];
        if again.results.get(..known.len()) != Some(known) {
            self.faults.add(format!("`{}` was read with other results", step.job));
        }
    }

    /// Ends a step.
    pub(crate) fn end(&mut self, step: &Step) {
        loop {
            let node = self.node();
            match self.client.end(node, &step.job).status() {
                200 => return,
                404 => return self.faults.add(format!("`{}` is unknown at its end", step.job)),
                _ => thread::sleep(Duration::from_millis(30)),
            }
        }
    }
}

/// A call of an app with what its client got, and when it was sent.
pub(crate) struct Called {
    pub(crate) id: String,
    pub(crate) status: u16,
    pub(crate) at: Instant,
}

/// Calls a route of a plain service until the stop, on kept connections.
pub(crate) fn call_until(
    stop: &Stop,
    nodes: &[SocketAddr],
    key: &str,
    path: &str,
    name: &str,
    faults: &Faults,
) -> Vec<Called> {
    let mut client = Client::new(key, CLIENT_TIMEOUT);
    let mut calls = Vec::new();
    while !stop.is_raised() {
        let id = format!("{name}-{}", calls.len());
        // A few calls on each connection before the next node.
        let node = nodes[calls.len() / 5 % nodes.len()];
        let at = Instant::now();
        let outcome = client.call(node, path, &id);
        if let Outcome::Answer { status: 200, id: named, body } = &outcome {
            let whole = *body == format!("answer to {id}").into_bytes();
            if named.as_deref() != Some(&id) || !whole {
                faults.add(format!("call `{id}` got another answer"));
            }
        }
        calls.push(Called { id, status: outcome.status(), at });
        thread::sleep(Duration::from_millis(7));
    }
    calls
}
