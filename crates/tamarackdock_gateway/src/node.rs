//! A node: the state that its tasks share, and its start.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use derive_more::{Display, Error, From};
use monoio::time::sleep;
use slog::Logger;
use tamarackdock_admit::outlook::Outlook;
use tamarackdock_platform::table::{Commit, Condition, Row, Watch, Write};
use tamarackdock_types::{
    HostName, NameError,
    clock::{BootClock, Clock, Instant},
};

use crate::{
    balance::TargetLoads,
    batch::{self, index::JobIndex, part},
    callers::{self, Callers},
    clock::{StoreClock, unix_millis},
    continuation::{self, Beginnings, Ledger, Stored},
    counter::Counter,
    crash::{self, SuspectRequests},
    deployment::Name,
    duty::{self, lease::DutyLease, usage::UsageCounter, weight_loads::LoadOrders},
    freshness::Freshness,
    gate::Gate,
    http::{Budget, Headers, ResponseHead},
    limit::{
        Observation, TargetLimits,
        permits::{self, Limiter},
    },
    members::{self, Members, NodeRun},
    notify::Notify,
    observed::{self, Observations},
    pace,
    path::PathState,
    pool::Pool,
    relay::Relay,
    server::{self, ListenerKind},
    settings::Settings,
    shutdown::Shutdown,
    silence::Silence,
    stop,
    target::Registration,
    telemetry::{Metrics, Output},
    view::{StoreView, Watcher},
    wire_format::WireFormat,
};

/// Time between removals of expired idle connections and of the state of targets
/// that are gone.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Most reads of batch jobs from the store for callers at the same time. Each one can hold a whole
/// submission several times while it is decoded.
const MAX_JOB_READS: usize = 2;
/// Part of the memory limit that requests may use. A growing buffer can take twice its content.
const REQUEST_BUDGET_DIVISOR: usize = 5;
/// Bytes that requests may use besides, so that the heads of others do not refuse a body that is as
/// large as that part.
const REQUEST_BUDGET_MARGIN: usize = 1024 * 1024;
/// Part of the memory limit that batch jobs may use which this node runs.
const JOB_BUDGET_DIVISOR: usize = 4;
/// Part of the memory limit that the bodies of incomplete responses may use.
const RESPONSE_BUDGET_DIVISOR: usize = 10;

/// The reason why a node can't start.
#[derive(Debug, Display, Error, From)]
pub enum StartError {
    /// A listener can't be bound.
    #[display("`listen`: `{address}` can't be bound: {error}")]
    #[from(skip)]
    Listen {
        /// Address in the settings.
        address: SocketAddr,
        /// Error of the operating system.
        #[error(source)]
        error: io::Error,
    },
    /// The name of the host is not valid.
    #[display("`host`: {_0}")]
    Host(NameError),
    /// A metric can't be registered.
    #[display("a metric can't be registered: {_0}")]
    Metrics(prometheus::Error),
}

/// The state that the tasks of a node share.
pub struct Node {
    settings: RefCell<Rc<Settings>>,
    pub(crate) data_centre: Name,
    pub(crate) wire_format: Rc<dyn WireFormat>,
    pub(crate) store: Rc<dyn Watch>,
    pub(crate) store_clock: Rc<StoreClock>,
    pub(crate) view: Rc<StoreView>,
    /// Idle connections to targets.
    pub(crate) pool: Pool,
    /// Idle connections to nodes that forward requests.
    pub(crate) peer_pool: Pool,
    pub(crate) paths: PathState,
    /// Requests of other nodes that this node forwards.
    pub(crate) forwarding: Counter,
    pub(crate) beginnings: RefCell<Beginnings>,
    /// Streams that this node writes to the store.
    pub(crate) ledger: RefCell<Ledger>,
    /// Notified when a stream is added to the ledger.
    pub(crate) ledger_changed: Notify,
    pub(crate) stored_beginnings: Stored,
    pub(crate) target_loads: RefCell<TargetLoads>,
    pub(crate) silence: Silence,
    pub(crate) observations: Observations,
    /// When the targets of plain services are expected to answer.
    pub(crate) outlook: RefCell<Outlook>,
    pub(crate) limits: RefCell<TargetLimits>,
    pub(crate) limiter: Limiter,
    pub(crate) members: Rc<Members>,
    pub(crate) relay: Rc<Relay>,
    pub(crate) jobs: JobIndex,
    pub(crate) duties: Rc<DutyLease>,
    pub(crate) load_orders: RefCell<LoadOrders>,
    pub(crate) usage: RefCell<UsageCounter>,
    /// Requests that are suspected of crashing their targets.
    pub(crate) suspects: Rc<RefCell<SuspectRequests>>,
    pub(crate) metrics: Metrics,
    pub(crate) log: Logger,
    pub(crate) output: Output,
    /// Connections of callers and their memory.
    pub(crate) callers: Rc<Callers>,
    /// Bytes of requests that are received or in progress.
    pub(crate) request_budget: Budget,
    /// Bytes of responses of targets that are being received.
    pub(crate) response_budget: Budget,
    /// Memory of the batch jobs that this node runs.
    pub(crate) job_memory: part::Memory,
    /// Reads of batch jobs from the store for callers.
    pub(crate) job_reads: Gate,
    /// Open connections of all listeners.
    pub(crate) connections: Counter,
    /// Calls of callers in progress, until their responses are written.
    pub(crate) calls: Counter,
    pub(crate) shutdown: Shutdown,
    operations: Cell<u64>,
}

/// Counts a request as running on a target until the guard is dropped.
pub(crate) struct RequestGuard {
    node: Rc<Node>,
    target: Name,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.node.target_loads.borrow_mut().end(&self.target);
    }
}

impl Node {
    /// Creates a node, which does nothing until [`Self::run`].
    ///
    /// # Errors
    ///
    /// Returns [`StartError`] if the settings can't be used.
    pub fn new(
        settings: Settings,
        wire_format: Rc<dyn WireFormat>,
        store: Rc<dyn Watch>,
        store_clock: Rc<StoreClock>,
        output: Output,
    ) -> Result<Rc<Self>, StartError> {
        let number = rand::random::<u64>();
        let host = HostName::new(&settings.host)?;
        let bounds = settings.bounds;
        let key_bound = bounds.strict_keys.then_some(bounds.withdrawn_key);
        let own = NodeRun { host: settings.host.clone(), number };
        let duties = DutyLease::new(
            host,
            settings.host.clone(),
            settings.exclusive_address(),
            bounds.lease,
            number,
        );
        let own_address = settings.listen.peers;
        let others = settings.seeds.iter().copied().filter(|seed| *seed != own_address);
        let seeds = others.collect();
        let members = Rc::new(Members::new(own, seeds, settings.limits.store));
        let platform_tables = [wire_format.orders_table(), wire_format.targets_table()];
        let log = output.logger();
        let relay = Rc::new(Relay::new(
            store,
            store_clock.clone(),
            members.clone(),
            platform_tables,
            log.clone(),
        ));
        let metrics = Metrics::new()?;
        let memory_mb = usize::try_from(settings.limits.memory_mb).unwrap_or(usize::MAX);
        let memory = memory_mb.saturating_mul(1024 * 1024);
        let mut target_loads = TargetLoads::default();
        target_loads.set_adaptive(settings.scheduling.adaptive);
        let request_budget = Budget::new(memory / REQUEST_BUDGET_DIVISOR + REQUEST_BUDGET_MARGIN);
        let callers = Callers::new(
            callers::Limits::of_process(memory, descriptors(&settings)),
            request_budget.clone(),
            settings.limits.unread,
            log.clone(),
            metrics.callers.closed.clone(),
        );
        Ok(Rc::new(Self {
            callers: Rc::new(callers),
            pool: Pool::default(),
            peer_pool: Pool::default(),
            paths: PathState::default(),
            forwarding: Counter::default(),
            data_centre: settings.data_centre.clone(),
            wire_format,
            store: relay.clone(),
            relay,
            store_clock,
            view: Rc::new(StoreView::new(Freshness::new(key_bound))),
            beginnings: RefCell::default(),
            ledger: RefCell::default(),
            ledger_changed: Notify::default(),
            stored_beginnings: Stored::default(),
            target_loads: RefCell::new(target_loads),
            silence: Silence::default(),
            observations: Observations::default(),
            outlook: RefCell::default(),
            limits: RefCell::default(),
            limiter: Limiter::default(),
            members,
            jobs: JobIndex::default(),
            duties: Rc::new(duties),
            load_orders: RefCell::default(),
            usage: RefCell::default(),
            suspects: Rc::default(),
            metrics,
            log,
            output,
            request_budget,
            response_budget: Budget::new(memory / RESPONSE_BUDGET_DIVISOR),
            job_memory: part::Memory::new(memory / JOB_BUDGET_DIVISOR),
            job_reads: Gate::new(MAX_JOB_READS),
            connections: Counter::default(),
            calls: Counter::default(),
            shutdown: Shutdown::default(),
            operations: Cell::new(0),
            settings: RefCell::new(Rc::new(settings)),
        }))
    }

    /// Starts all tasks and serves requests until a planned stop is complete.
    ///
    /// # Errors
    ///
    /// Returns [`StartError`] if an address can't be bound.
    pub async fn run(self: Rc<Self>, settings_path: &str) -> Result<(), StartError> {
        let settings = self.settings();
        slog::info!(self.log, "node: starting"; "host" => &*settings.host,
            "run" => format!("{:016x}", self.members.own.number),
            "data_centre" => &*settings.data_centre,
            "unknown_settings" => settings.unknown.keys().cloned().collect::<Vec<_>>().join(","));
        // First, since the other addresses can be bound while another process of the host runs.
        let peers = server::bind_peers(&settings).await?;
        server::listen(self.clone(), settings.listen.callers, ListenerKind::Callers)?;
        server::listen(self.clone(), settings.listen.health, ListenerKind::Health)?;
        server::accept(self.clone(), peers, ListenerKind::Peers);
        server::listen(self.clone(), settings.listen.metrics, ListenerKind::Metrics)?;
        let watcher = Rc::new(Watcher {
            view: self.view.clone(),
            store: self.store.clone(),
            wire_format: self.wire_format.clone(),
            members: self.members.clone(),
            log: self.log.clone(),
            ignored: RefCell::default(),
        });
        monoio::spawn(self.output.clone().run(self.metrics.log_dropped.clone()));
        monoio::spawn(watcher.clone().watch_orders());
        monoio::spawn(watcher.clone().watch_targets());
        monoio::spawn(watcher.expire_targets());
        monoio::spawn(self.relay.clone().probe());
        monoio::spawn(members::run_renew(self.clone()));
        monoio::spawn(members::run_read(self.clone()));
        monoio::spawn(batch::index::follow_heads(self.clone()));
        monoio::spawn(batch::schedule::run(self.clone()));
        monoio::spawn(batch::takeover::run(self.clone()));
        monoio::spawn(observed::run(self.clone()));
        monoio::spawn(duty::lease::run(self.clone()));
        monoio::spawn(duty::weight_loads::run(self.clone()));
        monoio::spawn(duty::usage::run_flush(self.clone()));
        monoio::spawn(duty::usage::run_report(self.clone()));
        monoio::spawn(duty::scale::run(self.clone()));
        monoio::spawn(duty::clear::run(self.clone()));
        monoio::spawn(duty::forget::run(self.clone()));
        monoio::spawn(continuation::run_write(self.clone()));
        monoio::spawn(continuation::run_clear(self.clone()));
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
        self.target_loads.borrow_mut().set_adaptive(settings.scheduling.adaptive);
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// Returns an operation id that no other commit uses.
    pub(crate) fn next_operation_id(&self) -> String {
        self.operations.set(self.operations.get() + 1);
        format!("{:016x}-{}", self.members.own.number, self.operations.get())
    }

    /// Commits writes if the conditions hold, and returns the revision.
    pub(crate) async fn commit(
        &self,
        conditions: Vec<Condition>,
        writes: Vec<Write>,
    ) -> Result<u64, tamarackdock_platform::Error> {
        let operation = self.next_operation_id();
        self.store.commit(Commit { operation, conditions, writes }).await
    }

    /// Reads all rows whose keys begin with `prefix`, page by page.
    pub(crate) async fn read_prefix(
        &self,
        prefix: String,
    ) -> Result<Vec<Row>, tamarackdock_platform::Error> {
        let mut rows: Vec<Row> = Vec::new();
        let mut from = prefix.clone();
        loop {
            let page = self.store.range(prefix.clone(), from).await?;
            let Some(last) = page.last() else { return Ok(rows) };
            // The first possible key behind the last one.
            from = format!("{}\0", last.key);
            rows.extend(page);
        }
    }

    /// Returns the size limit of a row's value, in bytes.
    pub(crate) fn row_bytes(&self) -> usize {
        self.settings.borrow().limits.row_bytes
    }

    /// Returns the Unix time in milliseconds by the median clock of the live hosts, or
    /// by this host's clock while that is not known.
    pub(crate) fn cluster_unix_millis(&self) -> i64 {
        let store = self.store_clock.millis(BootClock.now());
        match (store, self.members.wall_offset()) {
            (Some(store), Some(offset)) => store + offset,
            _ => unix_millis(),
        }
    }

    /// Counts a call for a client account in the usage window in which it began.
    pub(crate) fn count_usage(&self, account: &Name, began: Instant) {
        let age = BootClock.now().since(began).as_millis();
        let at = self.cluster_unix_millis() - i64::try_from(age).unwrap_or_default();
        let window = self.settings.borrow().bounds.usage_window;
        self.usage.borrow_mut().count(account, at, window);
    }

    /// Counts a request as running on a target until the returned guard is dropped.
    pub(crate) fn start_request(self: &Rc<Self>, target: &Name, now: Instant) -> RequestGuard {
        self.target_loads.borrow_mut().start(target, now);
        RequestGuard { node: self.clone(), target: target.clone() }
    }

    /// Takes note of what a target's answer says about the target itself. `id` is the id of the
    /// request, which was sent at `sent`.
    pub(crate) fn observe_answer(
        self: &Rc<Self>,
        target: &Registration,
        head: &ResponseHead,
        id: &str,
        sent: Instant,
    ) {
        let fields = self.wire_format.fields();
        let is_own = head.headers.get(fields.request_id).is_none_or(|echo| echo == id);
        // Another target than the expected one answers 421.
        if is_own && head.status != 421 {
            self.observe_limit(target, head.headers.get(fields.limit), sent);
        }
        self.observe_leaving(target, &head.headers);
    }

    /// Takes note of a target's word, in an answer of any kind, that it leaves.
    pub(crate) fn observe_leaving(&self, target: &Registration, headers: &Headers) {
        let field = self.wire_format.fields().leaving;
        if headers.get(field).is_none_or(|leaving| leaving == "0") {
            return;
        }
        let is_new = self.view.targets.borrow_mut().depart(target, BootClock.now());
        if is_new {
            slog::info!(self.log, "targets: target leaves by its own answer";
                "target" => &*target.id, "entry_draining" => target.draining);
        }
    }

    /// Takes note of the limit that a target's answer names, if any.
    fn observe_limit(self: &Rc<Self>, target: &Registration, limit: Option<&str>, sent: Instant) {
        let at = if limit.is_some() { BootClock.now() } else { sent };
        // Targets are known from the store or a peer that relays it, and so is the store's time.
        let at_ms = self.store_clock.millis(at).unwrap_or_default();
        let rate = limit.and_then(|limit| limit.parse::<f64>().ok());
        let observation = match limit {
            None => Some(Observation::unlimited(at_ms)),
            Some(_) => rate.and_then(|rate| Observation::named(rate, at_ms)),
        };
        let Some(observation) = observation else {
            slog::warn!(self.log, "targets: limit ignored"; "target" => &*target.id,
                "limit" => limit);
            return;
        };
        if self.limits.borrow_mut().record(&target.id, target.started, observation) {
            slog::info!(self.log, "targets: limit changed"; "target" => &*target.id,
                "per_s" => rate, "data_centre" => &*target.data_centre);
            permits::report(self, target);
            self.jobs.changed.notify_all();
        }
    }

    /// Logs and counts a failed call to the store.
    pub(crate) fn store_failed(&self, call: &str, error: &tamarackdock_platform::Error) {
        self.metrics.store_failures.with_label_values(&[call]).inc();
        slog::warn!(self.log, "store: call failed"; "call" => call, "error" => %error);
    }

    /// Returns whether a planned stop has begun.
    pub(crate) fn is_leaving(&self) -> bool {
        self.shutdown.grace().is_some()
    }
}

/// Returns the number of descriptors that the process may have open.
fn descriptors(settings: &Settings) -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    let limit = limit.and_then(|limit| usize::try_from(limit).ok()).unwrap_or(usize::MAX);
    settings.limits.descriptors.map_or(limit, |descriptors| descriptors.min(limit))
}

/// Removes expired connections and state at intervals, and updates gauges.
async fn sweep(node: Rc<Node>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        let targets = node.view.targets.borrow();
        let in_use = |id: &str| targets.get(id).is_some_and(|target| !target.registration.draining);
        node.pool.sweep(in_use);
        node.peer_pool.sweep(|_| true);
        node.target_loads.borrow_mut().sweep(|id| targets.get(id).is_some());
        pace::report(&node);
        node.silence.sweep(|id| targets.get(id).is_some());
        node.outlook.borrow_mut().sweep(|id| targets.get(id).is_some());
        if let Some(store_ms) = node.store_clock.millis(BootClock.now()) {
            node.limits.borrow_mut().sweep(|id| targets.get(id).is_some(), store_ms);
        }
        node.stored_beginnings.sweep(BootClock.now());
        node.limiter.sweep(|id| targets.get(id).is_some());
        node.callers.report();
        let (connections, requests, responses) = node.callers.usage();
        node.metrics.callers.connections.set(gauge(connections));
        node.metrics.callers.request_bytes.set(gauge(requests));
        node.metrics.callers.response_bytes.set(gauge(responses));
        node.metrics
            .deployment
            .set(i64::try_from(node.view.deployment().version).unwrap_or(i64::MAX));
        node.metrics.jobs.set(gauge(node.jobs.open_jobs().len()));
        node.metrics.job_bytes.set(gauge(node.job_memory.used()));
    }
}

fn gauge(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
