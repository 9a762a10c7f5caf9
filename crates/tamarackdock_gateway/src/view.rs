//! A node's view of the store, and the tasks that keep it up to date.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use slog::Logger;
use tamarackdock_platform::{
    Error,
    table::{Batch, Change, FeedResponse, Watch},
};
use tamarackdock_types::clock::{BootClock, Clock, Instant};

use crate::{
    deployment::{Deployment, Name},
    freshness::Freshness,
    members::Members,
    periodic, target,
    telemetry::excerpt,
    wire_format::{Order, WireFormat},
};

/// Longest time that the store holds back a poll of the orders feed without a
/// change. Each response renews the proof of freshness, whose age is at most this
/// time plus the round trip to the store.
const ORDERS_WAIT: Duration = Duration::from_secs(1);
/// Longest time that the store holds back a poll of the targets feed without a
/// change. A connection can go silent without an error, which only a missing answer shows, and
/// a node must follow the targets again within 3 s. That is the time for one more poll that is
/// answered, and for the next one to time out on a connection that was idle meanwhile. Targets
/// write about once a second each, so that polls are seldom held back for that long.
const TARGETS_WAIT: Duration = Duration::from_millis(800);
/// Time for which polls of the targets feed must have failed to show an outage of the store. A
/// failure may be that of one silent connection, after which a probe restores the path within
/// 0.4 s, and entries lapse only after several seconds without the store.
const SHORTEST_OUTAGE: Duration = Duration::from_millis(600);
/// Time after an outage of the store during which targets without a row stay in
/// use for a while. Targets are registered again within 2 s of the store's return.
const OUTAGE_GRACE: Duration = Duration::from_millis(3500);
/// Most names in a line of the log.
const MAX_LOGGED_NAMES: usize = 20;
/// Time between removals of targets whose grace period has ended.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(200);

/// The state of the store as last read, and how recent it is.
pub(crate) struct StoreView {
    pub(crate) deployment: RefCell<Rc<Deployment>>,
    pub(crate) evacuated: RefCell<BTreeSet<Name>>,
    /// Newest published weight version by model.
    pub(crate) published: RefCell<BTreeMap<Name, u64>>,
    pub(crate) targets: RefCell<target::TargetList>,
    pub(crate) freshness: RefCell<Freshness>,
    /// Time of the last failed poll of the targets feed in an outage of the store.
    last_outage: Cell<Option<Instant>>,
}

impl StoreView {
    pub(crate) fn new(freshness: Freshness) -> Self {
        Self {
            deployment: RefCell::default(),
            evacuated: RefCell::default(),
            published: RefCell::default(),
            targets: RefCell::default(),
            freshness: RefCell::new(freshness),
            last_outage: Cell::new(None),
        }
    }

    /// Returns the configuration in force.
    pub(crate) fn deployment(&self) -> Rc<Deployment> {
        self.deployment.borrow().clone()
    }

    fn had_recent_outage(&self, now: Instant) -> bool {
        self.last_outage.get().is_some_and(|at| now.since(at) < OUTAGE_GRACE)
    }
}

/// Keeps a [`StoreView`] up to date from the feeds of the store.
pub(crate) struct Watcher {
    pub(crate) view: Rc<StoreView>,
    pub(crate) store: Rc<dyn Watch>,
    pub(crate) wire_format: Rc<dyn WireFormat>,
    pub(crate) members: Rc<Members>,
    pub(crate) log: Logger,
    /// Keys of entries that were ignored and logged. They are written again and again.
    pub(crate) ignored: RefCell<BTreeSet<String>>,
}

impl Watcher {
    /// Applies the orders of operators and trainers as they change. Never returns.
    pub(crate) async fn watch_orders(self: Rc<Self>) {
        let table = self.wire_format.orders_table();
        let mut revision = None;
        let mut wait = Duration::ZERO;
        let mut failures = 0;
        loop {
            let sent = BootClock.now();
            match self.fetch(table, revision, wait).await {
                Ok(FeedResponse::HistoryLost) => {
                    slog::warn!(self.log, "orders: history lost, reading a snapshot"; "after" => revision);
                    revision = None;
                }
                Ok(FeedResponse::Changes(batch)) => {
                    if std::mem::take(&mut failures) > 0 {
                        slog::info!(self.log, "orders: store reachable again"; "revision" => batch.revision);
                    }
                    let is_snapshot = revision.is_none();
                    let (decoded, at) = (self.apply_orders(&batch, is_snapshot), batch.revision);
                    if decoded {
                        self.view.freshness.borrow_mut().prove(sent);
                    }
                    revision = Some(at);
                    wait = ORDERS_WAIT;
                }
                Err(error) => {
                    failures += 1;
                    if failures == 1 {
                        let age = self.view.freshness.borrow().age(sent);
                        slog::warn!(self.log, "orders: store unreachable";
                            "error" => %error, "proof_age" => ?age);
                    }
                    wait = Duration::ZERO;
                    monoio::time::sleep(self.members.retry_pause(failures)).await;
                }
            }
        }
    }

    /// Applies the registrations of targets as they change. Never returns.
    pub(crate) async fn watch_targets(self: Rc<Self>) {
        let table = self.wire_format.targets_table();
        let mut revision = None;
        let mut failures = 0;
        let mut failing_since = None;
        loop {
            // The poll after a failed one is answered at once, whether or not there are changes.
            let wait = if failures == 0 { TARGETS_WAIT } else { Duration::ZERO };
            match self.fetch(table, revision, wait).await {
                Ok(FeedResponse::HistoryLost) => {
                    slog::warn!(self.log, "targets: history lost, reading a snapshot"; "after" => revision);
                    revision = None;
                }
                Ok(FeedResponse::Changes(batch)) => {
                    self.apply_targets(&batch, revision.is_none());
                    revision = Some(batch.revision);
                    failures = 0;
                    failing_since = None;
                    monoio::time::sleep(self.members.interval(periodic::TARGETS)).await;
                }
                Err(error) => {
                    let now = BootClock.now();
                    failures += 1;
                    if !self.view.had_recent_outage(now) {
                        slog::warn!(self.log, "targets: store unreachable";
                            "error" => %error, "failures" => failures);
                    }
                    if now.since(*failing_since.get_or_insert(now)) >= SHORTEST_OUTAGE {
                        self.view.last_outage.set(Some(now));
                    }
                    monoio::time::sleep(self.members.retry_pause(failures)).await;
                }
            }
        }
    }

    /// Removes targets when their grace period ends. Never returns.
    pub(crate) async fn expire_targets(self: Rc<Self>) {
        loop {
            monoio::time::sleep(EXPIRY_INTERVAL).await;
            self.view.targets.borrow_mut().expire(BootClock.now());
        }
    }

    async fn fetch(
        &self,
        table: &'static str,
        revision: Option<u64>,
        wait: Duration,
    ) -> Result<FeedResponse, Error> {
        match revision {
            Some(after) => self.store.changes(table, after, wait).await,
            None => self.store.snapshot(table, String::new()).await.map(FeedResponse::Changes),
        }
    }

    /// Applies orders and returns whether all of their rows were decoded.
    fn apply_orders(&self, batch: &Batch, is_snapshot: bool) -> bool {
        if is_snapshot {
            self.view.evacuated.borrow_mut().clear();
        }
        let mut decoded = true;
        for change in &batch.changes {
            match &change.value {
                None => self.remove_order(&change.key),
                Some(value) => match self.wire_format.order(&change.key, value) {
                    Ok(order) => self.apply_order(order, change.revision),
                    Err(error) => {
                        decoded = false;
                        slog::error!(self.log, "orders: row ignored";
                            "key" => &change.key, "error" => excerpt(&error));
                    }
                },
            }
        }
        decoded
    }

    fn remove_order(&self, key: &str) {
        if let Some(name) = self.wire_format.ended_evacuation(key) {
            slog::info!(self.log, "orders: evacuation of a data centre ended"; "name" => &*name);
            self.view.evacuated.borrow_mut().remove(&name);
            // Targets that got no requests meanwhile may have turned cold.
            let deployment = self.view.deployment();
            let longest = deployment.services.values().map(|service| service.cold_start).max();
            let until = BootClock.now() + longest.unwrap_or_default();
            self.view.targets.borrow_mut().presume_cold(&name, until);
        }
    }

    fn apply_order(&self, order: Order, revision: u64) {
        match order {
            Order::Deployment(deployment) => self.apply_deployment(*deployment, revision),
            Order::Evacuate(name) => {
                slog::info!(self.log, "orders: data centre evacuated"; "name" => &*name);
                self.view.evacuated.borrow_mut().insert(name);
            }
            Order::Published(published) => {
                slog::info!(self.log, "orders: weights published";
                    "model" => &*published.model, "version" => published.version);
                let mut known = self.view.published.borrow_mut();
                let newest = known.entry(published.model).or_default();
                *newest = published.version.max(*newest);
            }
            Order::Other => {}
        }
    }

    /// Puts a configuration in force unless a newer one already is.
    fn apply_deployment(&self, deployment: Deployment, revision: u64) {
        let current = self.view.deployment().version;
        slog::info!(self.log, "orders: configuration received"; "version" => deployment.version,
            "in_force" => current, "revision" => revision,
            "accounts" => deployment.accounts.len());
        if !deployment.unranked.is_empty() {
            let names = &deployment.unranked[..deployment.unranked.len().min(MAX_LOGGED_NAMES)];
            slog::info!(self.log, "orders: ranks missing or invalid, the lowest is used";
                "version" => deployment.version, "count" => deployment.unranked.len(),
                "names" => names.join(","));
        }
        if deployment.version > current {
            *self.view.deployment.borrow_mut() = Rc::new(deployment);
        }
    }

    fn apply_targets(&self, batch: &Batch, is_snapshot: bool) {
        let now = BootClock.now();
        let lenient = self.view.had_recent_outage(now);
        if is_snapshot {
            let ids: Vec<&str> = batch.changes.iter().map(|change| change.key.as_str()).collect();
            self.view.targets.borrow_mut().retain(&ids, lenient, now);
            self.ignored.borrow_mut().retain(|key| ids.contains(&key.as_str()));
        }
        batch.changes.iter().for_each(|change| self.apply_target(change, lenient, now));
    }

    fn apply_target(&self, change: &Change, lenient: bool, now: Instant) {
        let mut targets = self.view.targets.borrow_mut();
        match &change.value {
            None => {
                self.ignored.borrow_mut().remove(&change.key);
                slog::info!(self.log, "targets: entry removed";
                    "target" => &change.key, "lenient" => lenient);
                targets.remove(&change.key, lenient, now);
            }
            Some(value) => match self.wire_format.registration(&change.key, value) {
                Ok(registration) => {
                    self.ignored.borrow_mut().remove(&change.key);
                    let known = targets.get(&registration.id).map(|known| &known.registration);
                    if known.is_none_or(|known| {
                        known.draining != registration.draining
                            || known.versions != registration.versions
                            || known.started != registration.started
                    }) {
                        slog::info!(self.log, "targets: entry added or changed"; "target" => &*registration.id,
                            "data_centre" => &*registration.data_centre,
                            "draining" => registration.draining,
                            "software" => &*registration.software_version,
                            "cold_ms" => registration.cold_left.as_millis(),
                            "reclaimable" => registration.reclaimable,
                            "versions" => ?registration.versions);
                    }
                    targets.register(registration, now);
                }
                Err(error) => {
                    if self.ignored.borrow_mut().insert(change.key.clone()) {
                        slog::warn!(self.log, "targets: entry ignored";
                            "target" => &change.key, "error" => excerpt(&error));
                    }
                    targets.remove(&change.key, false, now);
                }
            },
        }
    }
}
