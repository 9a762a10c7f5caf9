//! What a node knows from the store, and the tasks that keep it up to date.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use slog::Logger;
use tamarackdock_platform::{
    Error,
    table::{Batch, Change, News, Watch},
};
use tamarackdock_types::clock::{BootClock, Clock, Instant};

use crate::{
    deployment::{Deployment, Name},
    dialect::{Dialect, Order},
    freshness::Freshness,
    members::Members,
    pace, target,
};

/// How long the feed of orders waits for a change. Each answer renews the proof
/// of freshness, whose age is at most this time and the way to the store.
const ORDERS_WAIT: Duration = Duration::from_secs(1);
/// How long the feed of targets waits for a change.
const TARGETS_WAIT: Duration = Duration::from_secs(5);
/// How long after an outage of the store lapsed entries are treated leniently.
/// Targets are registered again within 2 s of the store's return.
const OUTAGE_MEMORY: Duration = Duration::from_millis(3500);
/// Time between removals of entries whose grace has ended.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(200);

/// What a node knows.
pub(crate) struct Beliefs {
    pub(crate) deployment: RefCell<Rc<Deployment>>,
    pub(crate) evacuated: RefCell<BTreeSet<Name>>,
    /// Newest published version by model.
    pub(crate) published: RefCell<BTreeMap<Name, u64>>,
    pub(crate) targets: RefCell<target::List>,
    pub(crate) freshness: RefCell<Freshness>,
    /// Last time at which a question to the feed of targets failed.
    outage: Cell<Option<Instant>>,
}

impl Beliefs {
    pub(crate) fn new(freshness: Freshness) -> Self {
        Self {
            deployment: RefCell::default(),
            evacuated: RefCell::default(),
            published: RefCell::default(),
            targets: RefCell::default(),
            freshness: RefCell::new(freshness),
            outage: Cell::new(None),
        }
    }

    /// Returns the configuration in force.
    pub(crate) fn deployment(&self) -> Rc<Deployment> {
        self.deployment.borrow().clone()
    }

    fn had_outage(&self, now: Instant) -> bool {
        self.outage.get().is_some_and(|at| now.since(at) < OUTAGE_MEMORY)
    }
}

/// Keeps beliefs up to date.
pub(crate) struct Follower {
    pub(crate) beliefs: Rc<Beliefs>,
    pub(crate) store: Rc<dyn Watch>,
    pub(crate) dialect: Rc<dyn Dialect>,
    pub(crate) members: Rc<Members>,
    pub(crate) log: Logger,
}

impl Follower {
    /// Follows the orders of operators and trainers for ever.
    pub(crate) async fn follow_orders(self: Rc<Self>) {
        let table = self.dialect.orders_table();
        let mut revision = None;
        let mut wait = Duration::ZERO;
        let mut failures = 0;
        loop {
            let asked = BootClock.now();
            match self.ask(table, revision, wait).await {
                Ok(News::HistoryLost) => {
                    slog::warn!(self.log, "orders: history lost, reading again"; "after" => revision);
                    revision = None;
                }
                Ok(News::Changes(batch)) => {
                    if std::mem::take(&mut failures) > 0 {
                        slog::info!(self.log, "orders: store regained"; "revision" => batch.revision);
                    }
                    let whole = revision.is_none();
                    let (understood, at) = (self.apply_orders(&batch, whole), batch.revision);
                    if understood {
                        self.beliefs.freshness.borrow_mut().prove(asked);
                    }
                    revision = Some(at);
                    wait = ORDERS_WAIT;
                }
                Err(error) => {
                    failures += 1;
                    if failures == 1 {
                        let age = self.beliefs.freshness.borrow().age(asked);
                        slog::warn!(self.log, "orders: store lost";
                            "error" => %error, "proof_age" => ?age);
                    }
                    wait = Duration::ZERO;
                    monoio::time::sleep(self.members.retry_pause(failures)).await;
                }
            }
        }
    }

    /// Follows the registrations of targets for ever.
    pub(crate) async fn follow_targets(self: Rc<Self>) {
        let table = self.dialect.targets_table();
        let mut revision = None;
        let mut failures = 0;
        loop {
            match self.ask(table, revision, TARGETS_WAIT).await {
                Ok(News::HistoryLost) => {
                    slog::warn!(self.log, "targets: history lost, reading again"; "after" => revision);
                    revision = None;
                }
                Ok(News::Changes(batch)) => {
                    self.apply_targets(&batch, revision.is_none());
                    revision = Some(batch.revision);
                    failures = 0;
                    monoio::time::sleep(self.members.interval(pace::TARGETS)).await;
                }
                Err(error) => {
                    let now = BootClock.now();
                    if !self.beliefs.had_outage(now) {
                        slog::warn!(self.log, "targets: store lost"; "error" => %error);
                    }
                    self.beliefs.outage.set(Some(now));
                    failures += 1;
                    monoio::time::sleep(self.members.retry_pause(failures)).await;
                }
            }
        }
    }

    /// Drops lapsed entries when their grace ends.
    pub(crate) async fn expire_targets(self: Rc<Self>) {
        loop {
            monoio::time::sleep(EXPIRY_INTERVAL).await;
            self.beliefs.targets.borrow_mut().expire(BootClock.now());
        }
    }

    async fn ask(
        &self,
        table: &'static str,
        revision: Option<u64>,
        wait: Duration,
    ) -> Result<News, Error> {
        match revision {
            Some(after) => self.store.changes(table, after, wait).await,
            None => self.store.snapshot(table, String::new()).await.map(News::Changes),
        }
    }

    /// Applies orders and returns whether the configuration among them was understood.
    fn apply_orders(&self, batch: &Batch, whole: bool) -> bool {
        if whole {
            self.beliefs.evacuated.borrow_mut().clear();
        }
        let mut understood = true;
        for change in &batch.changes {
            match &change.value {
                None => self.withdraw(&change.key),
                Some(value) => match self.dialect.order(&change.key, value) {
                    Ok(order) => self.apply_order(order, change.revision),
                    Err(error) => {
                        understood = false;
                        slog::error!(self.log, "orders: row left out";
                            "key" => &change.key, "error" => %error);
                    }
                },
            }
        }
        understood
    }

    fn withdraw(&self, key: &str) {
        if let Some(name) = self.dialect.removed(key) {
            slog::info!(self.log, "orders: withdrawn"; "name" => &*name);
            self.beliefs.evacuated.borrow_mut().remove(&name);
            // Targets that got no work may have turned cold meanwhile.
            let deployment = self.beliefs.deployment();
            let longest = deployment.services.values().map(|service| service.cold_start).max();
            let until = BootClock.now() + longest.unwrap_or_default();
            self.beliefs.targets.borrow_mut().presume_cold(&name, until);
        }
    }

    fn apply_order(&self, order: Order, revision: u64) {
        match order {
            Order::Deployment(deployment) => self.apply_deployment(*deployment, revision),
            Order::Evacuate(name) => {
                slog::info!(self.log, "orders: data centre out"; "name" => &*name);
                self.beliefs.evacuated.borrow_mut().insert(name);
            }
            Order::Published(published) => {
                slog::info!(self.log, "orders: weights published";
                    "model" => &*published.model, "version" => published.version);
                let mut known = self.beliefs.published.borrow_mut();
                let newest = known.entry(published.model).or_default();
                *newest = published.version.max(*newest);
            }
            Order::Other => {}
        }
    }

    /// Puts a configuration in force unless a newer one is.
    fn apply_deployment(&self, deployment: Deployment, revision: u64) {
        let current = self.beliefs.deployment().version;
        slog::info!(self.log, "orders: configuration"; "version" => deployment.version,
            "in_force" => current, "revision" => revision,
            "accounts" => deployment.accounts.len());
        if deployment.version > current {
            *self.beliefs.deployment.borrow_mut() = Rc::new(deployment);
        }
    }

    fn apply_targets(&self, batch: &Batch, whole: bool) {
        let now = BootClock.now();
        let lenient = self.beliefs.had_outage(now);
        if whole {
            let ids: Vec<&str> = batch.changes.iter().map(|change| change.key.as_str()).collect();
            self.beliefs.targets.borrow_mut().retain(&ids, lenient, now);
        }
        batch.changes.iter().for_each(|change| self.apply_target(change, lenient, now));
    }

    fn apply_target(&self, change: &Change, lenient: bool, now: Instant) {
        let mut targets = self.beliefs.targets.borrow_mut();
        match &change.value {
            None => {
                slog::info!(self.log, "targets: entry removed";
                    "target" => &change.key, "lenient" => lenient);
                targets.remove(&change.key, lenient, now);
            }
            Some(value) => match self.dialect.registration(&change.key, value) {
                Ok(registration) => {
                    let known = targets.get(&registration.id).map(|known| &known.registration);
                    if known.is_none_or(|known| {
                        known.draining != registration.draining
                            || known.versions != registration.versions
                            || known.started != registration.started
                    }) {
                        slog::info!(self.log, "targets: entry"; "target" => &*registration.id,
                            "data_centre" => &*registration.data_centre,
                            "draining" => registration.draining,
                            "cold_ms" => registration.cold_left.as_millis(),
                            "reclaimable" => registration.reclaimable,
                            "versions" => ?registration.versions);
                    }
                    targets.register(registration, now);
                }
                Err(error) => {
                    slog::warn!(self.log, "targets: entry left out";
                        "target" => &change.key, "error" => %error);
                    targets.remove(&change.key, false, now);
                }
            },
        }
    }
}
