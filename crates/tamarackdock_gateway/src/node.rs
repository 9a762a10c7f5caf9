//! A node: what its tasks share, and how a request finds its handler.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use derive_more::{Display, Error, From};
use futures_util::future::pending;
use monoio::time::sleep;
use slog::Logger;
use tamarackdock_platform::table::{Commit, Condition, Watch, Write};
use tamarackdock_types::{
    HostName, NameError,
    clock::{BootClock, Clock, Instant},
};

use crate::{
    balance::Loads,
    batch::{self, index::Index},
    beliefs::{Beliefs, Follower},
    clock::{StoreClock, wall_millis},
    crash::{self, Suspects},
    deployment::Name,
    dialect::Dialect,
    duty::{self, holder::Holder, loads::Orders, usage::Meter},
    freshness::Freshness,
    members::{self, Members, Run},
    pool::Pool,
    relay::Relay,
    server::{self, Port},
    settings::Settings,
    signal::Signal,
    stop,
    telemetry::{Metrics, Output},
};

/// Time between removals of idle connections and of state of gone targets.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// The node can't start.
#[derive(Debug, Display, Error, From)]
pub enum StartError {
    /// A listener can't be bound.
    #[display("`listen`: `{address}` can't be bound: {error}")]
    #[from(skip)]
    Listen {
        /// Address of the settings.
        address: SocketAddr,
        /// Reason.
        #[error(source)]
        error: io::Error,
    },
    /// The name of the host is not usable.
    #[display("`host`: {_0}")]
    Host(NameError),
    /// A metric can't be registered.
    #[display("a metric can't be registered: {_0}")]
    Metrics(prometheus::Error),
}

/// What the tasks of a node share.
pub struct Node {
    settings: RefCell<Rc<Settings>>,
    pub(crate) data_centre: Name,
    pub(crate) dialect: Rc<dyn Dialect>,
    pub(crate) store: Rc<dyn Watch>,
    pub(crate) store_clock: Rc<StoreClock>,
    pub(crate) beliefs: Rc<Beliefs>,
    pub(crate) pool: Pool,
    pub(crate) loads: RefCell<Loads>,
    pub(crate) members: Rc<Members>,
    pub(crate) relay: Rc<Relay>,
    pub(crate) jobs: Index,
    pub(crate) duties: Rc<Holder>,
    pub(crate) loads_ordered: RefCell<Orders>,
    pub(crate) usage: RefCell<Meter>,
    /// Requests that crash their targets.
    pub(crate) suspects: Rc<RefCell<Suspects>>,
    pub(crate) metrics: Metrics,
    pub(crate) log: Logger,
    pub(crate) output: Output,
    /// Open connections of all listeners.
    pub(crate) connections: Cell<usize>,
    /// Calls of callers in progress.
    pub(crate) calls: Cell<usize>,
    leaving: Cell<bool>,
    closing: Cell<bool>,
    stop: Signal,
    operations: Cell<u64>,
}

/// Counts a request on a target until it is dropped.
pub(crate) struct Running {
    node: Rc<Node>,
    target: Name,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.node.loads.borrow_mut().end(&self.target);
    }
}

impl Node {
    /// Makes a node.
    ///
    /// # Errors
    ///
    /// Returns [`StartError`] if the settings can't be used.
    pub fn new(
        settings: Settings,
        dialect: Rc<dyn Dialect>,
        store: Rc<dyn Watch>,
        store_clock: Rc<StoreClock>,
        output: Output,
    ) -> Result<Rc<Self>, StartError> {
        let number = rand::random::<u64>();
        let host = HostName::new(&settings.host)?;
        let bounds = settings.bounds;
        let bound = bounds.strict_keys.then_some(bounds.withdrawn_key);
        let own = Run { host: settings.host.clone(), number };
        let duties = Holder::new(host, settings.host.clone(), bounds.lease, number);
        let own_address = settings.listen.peers;
        let others = settings.seeds.iter().copied().filter(|seed| *seed != own_address);
        let seeds = others.collect();
        let members = Rc::new(Members::new(own, seeds, settings.limits.store));
        let foreign = [dialect.orders_table(), dialect.targets_table()];
        let log = output.logger();
        let relay = Rc::new(Relay::new(store, members.clone(), foreign, log.clone()));
        let metrics = Metrics::new()?;
        Ok(Rc::new(Self {
            pool: Pool::new(metrics.connections.clone()),
            data_centre: settings.data_centre.clone(),
            dialect,
            store: relay.clone(),
            relay,
            store_clock,
            beliefs: Rc::new(Beliefs::new(Freshness::new(bound))),
            loads: RefCell::default(),
            members,
            jobs: Index::default(),
            duties: Rc::new(duties),
            loads_ordered: RefCell::default(),
            usage: RefCell::default(),
            suspects: Rc::default(),
            metrics,
            log,
            output,
            connections: Cell::new(0),
            calls: Cell::new(0),
            leaving: Cell::new(false),
            closing: Cell::new(false),
            stop: Signal::default(),
            operations: Cell::new(0),
            settings: RefCell::new(Rc::new(settings)),
        }))
    }

    /// Starts all tasks and serves until a planned stop has ended.
    ///
    /// # Errors
    ///
    /// Returns [`StartError`] if an address can't be bound.
    pub async fn run(self: Rc<Self>, settings_path: &str) -> Result<(), StartError> {
        let settings = self.settings();
        slog::info!(self.log, "node: start"; "host" => &*settings.host,
            "run" => format!("{:016x}", self.members.own.number),
            "data_centre" => &*settings.data_centre,
            "unknown_settings" => settings.unknown.keys().cloned().collect::<Vec<_>>().join(","));
        server::listen(self.clone(), settings.listen.callers, Port::Callers)?;
        server::listen(self.clone(), settings.listen.health, Port::Health)?;
        server::listen(self.clone(), settings.listen.peers, Port::Peers)?;
        server::listen(self.clone(), settings.listen.metrics, Port::Metrics)?;
        let follower = Rc::new(Follower {
            beliefs: self.beliefs.clone(),
            store: self.store.clone(),
            dialect: self.dialect.clone(),
            members: self.members.clone(),
            log: self.log.clone(),
        });
        monoio::spawn(self.output.clone().run(self.metrics.log_dropped.clone()));
        monoio::spawn(follower.clone().follow_orders());
        monoio::spawn(follower.clone().follow_targets());
        monoio::spawn(follower.expire_targets());
        monoio::spawn(self.relay.clone().probe());
        monoio::spawn(members::run_renew(self.clone()));
        monoio::spawn(members::run_read(self.clone()));
        monoio::spawn(batch::index::follow(self.clone()));
        monoio::spawn(batch::schedule::run(self.clone()));
        monoio::spawn(batch::adopt::run(self.clone()));
        monoio::spawn(duty::holder::run(self.clone()));
        monoio::spawn(duty::loads::run(self.clone()));
        monoio::spawn(duty::usage::run_flush(self.clone()));
        monoio::spawn(duty::usage::run_report(self.clone()));
        monoio::spawn(duty::scale::run(self.clone()));
        monoio::spawn(duty::clear::run(self.clone()));
        monoio::spawn(crash::run(self.clone(), self.suspects.clone()));
        monoio::spawn(sweep(self.clone()));
        stop::run(&self, settings_path).await;
        Ok(())
    }

    /// Returns the settings in force.
    #[must_use]
    pub fn settings(&self) -> Rc<Settings> {
        self.settings.borrow().clone()
    }

    pub(crate) fn set_settings(&self, settings: Settings) {
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// Returns an operation id that no other commit has.
    pub(crate) fn operation(&self) -> String {
        self.operations.set(self.operations.get() + 1);
        format!("{:016x}-{}", self.members.own.number, self.operations.get())
    }

    /// Commits writes under conditions, and returns the revision.
    pub(crate) async fn commit(
        &self,
        conditions: Vec<Condition>,
        writes: Vec<Write>,
    ) -> Result<u64, tamarackdock_platform::Error> {
        let operation = self.operation();
        self.store.commit(Commit { operation, conditions, writes }).await
    }

    /// Returns the largest value of a row in bytes.
    pub(crate) fn row_bytes(&self) -> usize {
        self.settings.borrow().limits.row_bytes
    }

    /// Returns the Unix time in milliseconds as most hosts see it.
    pub(crate) fn true_millis(&self) -> i64 {
        let store = self.store_clock.millis(BootClock.now());
        match (store, self.members.wall_offset()) {
            (Some(store), Some(offset)) => store + offset,
            _ => wall_millis(),
        }
    }

    pub(crate) fn count_usage(&self, account: &Name, began: Instant) {
        let age = BootClock.now().since(began).as_millis();
        let at = self.true_millis() - i64::try_from(age).unwrap_or_default();
        let window = self.settings.borrow().bounds.usage_window;
        self.usage.borrow_mut().count(account, at, window);
    }

    /// Counts a request on a target for as long as the result is kept.
    pub(crate) fn begin(self: &Rc<Self>, target: &Name, now: Instant) -> Running {
        self.loads.borrow_mut().start(target, now);
        Running { node: self.clone(), target: target.clone() }
    }

    /// Logs and counts a failed call to the store.
    pub(crate) fn store_failed(&self, call: &str, error: &tamarackdock_platform::Error) {
        self.metrics.store_failures.with_label_values(&[call]).inc();
        slog::warn!(self.log, "store: call failed"; "call" => call, "error" => %error);
    }

    /// Returns whether a planned stop has begun.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Begins a planned stop: the balancer is told, and connections end with
    /// their next answer.
    pub(crate) fn leave(&self) {
        self.leaving.set(true);
        self.stop.raise();
    }

    /// Closes connections that wait for a request.
    pub(crate) fn close(&self) {
        self.closing.set(true);
        self.stop.raise();
    }

    /// Waits until connections that are idle are to be closed. Does not end for
    /// others.
    pub(crate) async fn closing(&self, idle: bool) {
        if !idle {
            return pending().await;
        }
        loop {
            let seen = self.stop.count();
            if self.closing.get() {
                return;
            }
            self.stop.after(seen).await;
        }
    }
}

async fn sweep(node: Rc<Node>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        let targets = node.beliefs.targets.borrow();
        let in_use = |id: &str| targets.get(id).is_some_and(|target| !target.registration.draining);
        node.pool.sweep(in_use);
        node.loads.borrow_mut().sweep(|id| targets.get(id).is_some());
        node.metrics
            .deployment
            .set(i64::try_from(node.beliefs.deployment().version).unwrap_or(i64::MAX));
        node.metrics.jobs.set(i64::try_from(node.jobs.open().len()).unwrap_or(i64::MAX));
    }
}
