//! Orders to targets to load weights.

use std::{
    cell::RefMut,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use monoio::time::{sleep, timeout};
use tamarackdock_path::Doubt;
use tamarackdock_types::clock::{BootClock, Clock, Instant};
use tamarackdock_weights::wave::{self, Finished, Model, Pace, State};

use super::plan::{self, Assigned, DueLoad, PlanTarget};
use crate::{
    deployment::Name,
    http::{Response, send_message},
    node::Node,
    path,
    pool::Reuse,
    target::Registration,
    wire_format::{Load, OutgoingRequest, TargetReport},
};

/// Time between checks for loads that are due.
const INTERVAL: Duration = Duration::from_millis(50);
/// Time between checks whether this node has become the holder of the duties.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);
/// Time limit for a target's response to an order or a request for its report.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(900);
/// Time after an accepted order until the target's report is first requested.
const FIRST_POLL_DELAY: Duration = Duration::from_millis(850);
/// Time between later requests for the report.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which an order that had no effect is given up and may be sent again.
const LOAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after an order that did not succeed.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Longest pause after orders that a target has not carried out. With `scheduling.adaptive` it
/// doubles with each one, so that silent targets take few of the loads.
const LONGEST_PAUSE: Duration = Duration::from_secs(5);
/// Outcomes that say that a target did not carry out an order. Others have different reasons.
const FAILURES: [&str; 3] = ["no_report", "no_answer", "timeout"];
/// Largest report of a target, in bytes.
const MAX_REPORT: usize = 256 * 1024;

/// State of the load orders that this node sends as holder of the duties.
#[derive(Debug, Default)]
pub(crate) struct LoadOrders {
    /// Order in progress, by target.
    loading: BTreeMap<Name, DueLoad>,
    /// Weight versions by target and model that targets have reported, which can be newer
    /// than registered ones.
    reported: BTreeMap<Name, BTreeMap<Name, u64>>,
    /// Earliest time of the next order, by target.
    not_before: BTreeMap<Name, Instant>,
    /// Number of orders in a row that a target has not carried out.
    failures: BTreeMap<Name, u32>,
    /// Number of targets with models at the last check.
    targets: usize,
    /// What this node has learned in its current term as holder.
    pace: Pace,
}

impl LoadOrders {
    /// Forgets what was learned in a term as holder. Orders in progress are waited for.
    fn end_term(&mut self) {
        self.reported.clear();
        self.failures.clear();
        self.pace = Pace::default();
    }

    /// Records the outcome of an order.
    fn end(&mut self, target: &Name, outcome: &str, is_adaptive: bool) {
        self.loading.remove(target);
        if outcome == "loaded" {
            self.failures.remove(target);
            return;
        }
        let mut pause = RETRY_PAUSE;
        if is_adaptive && FAILURES.contains(&outcome) {
            let failures = self.failures.entry(target.clone()).or_default();
            pause = (RETRY_PAUSE * 2_u32.saturating_pow(*failures)).min(LONGEST_PAUSE);
            *failures += 1;
        }
        self.not_before.insert(target.clone(), BootClock.now() + pause);
    }

    /// Returns the state of a target that serves a model.
    fn state(&self, target: &Name, model: &Name, now: Instant) -> State {
        match self.loading.get(target) {
            Some(order) if order.model == *model => State::Loading(order.version),
            Some(_) => State::Loading(0),
            None if self.is_paused(target, now) => State::Paused,
            None if self.failures.contains_key(target) => State::Failing,
            None => State::Idle,
        }
    }

    fn is_paused(&self, target: &Name, now: Instant) -> bool {
        self.not_before.get(target).is_some_and(|at| now < *at)
    }
}

impl LoadOrders {
    /// Returns whether an order to a target is in progress.
    pub(crate) fn is_loading(&self, target: &str) -> bool {
        self.loading.contains_key(target)
    }
}

/// Returns the usable targets of services with models, as input of the plan.
fn plan_targets(node: &Node) -> Vec<PlanTarget> {
    let deployment = node.view.deployment();
    let targets = node.view.targets.borrow();
    let evacuated = node.view.evacuated.borrow();
    let orders = node.load_orders.borrow();
    let usable = targets.iter().map(|target| &target.registration).filter(|entry| {
        let service = deployment.services.get(&entry.service);
        service.is_some_and(|service| !service.models.is_empty())
            && !entry.draining
            && !evacuated.contains(&entry.data_centre)
    });
    usable
        .map(|entry| {
            let mut versions = entry.versions.clone();
            for (model, version) in orders.reported.get(&entry.id).into_iter().flatten() {
                let known = versions.entry(model.clone()).or_default();
                *known = (*version).max(*known);
            }
            let loading = orders.loading.get(&entry.id).map(|due| due.model.clone());
            PlanTarget { id: entry.id.clone(), versions, loading }
        })
        .collect()
}

/// Returns the models to which each target is assigned. With `scheduling.adaptive`, all models that
/// the configuration lists count until the first version is published, when the trainers that take
/// part have requested their first step.
pub(crate) fn assignment(node: &Node) -> Assigned {
    let published = node.view.published.borrow();
    let mut demand = node.jobs.demand();
    if node.settings().scheduling.adaptive && published.is_empty() {
        let deployment = node.view.deployment();
        let listed = deployment.services.values().flat_map(|service| &service.models);
        demand = plan::expected_demand(demand, listed);
    }
    plan::assign(&plan_targets(node), &demand, &open_models(node), &published)
}

/// Returns the models with open jobs.
fn open_models(node: &Node) -> BTreeSet<Name> {
    node.jobs.open_models(node.store_clock.millis(BootClock.now()))
}

/// Orders the loads that are due while this node holds the duties. Never returns.
pub(crate) async fn run(node: Rc<Node>) {
    loop {
        if node.duties.permit().is_none() {
            node.load_orders.borrow_mut().end_term();
            node.metrics.loads_limit.set(0);
            sleep(IDLE_INTERVAL).await;
            continue;
        }
        sleep(INTERVAL).await;
        let targets = plan_targets(&node);
        let now = BootClock.now();
        let published = node.view.published.borrow().clone();
        if published.is_empty() {
            continue;
        }
        let demand = node.jobs.demand();
        let assigned = plan::assign(&targets, &demand, &open_models(&node), &published);
        let mut orders = node.load_orders.borrow_mut();
        orders.targets = targets.len();
        let (due, limit) = if node.settings().scheduling.adaptive {
            let of_models = plan::assigned_targets(&targets, &assigned, &published);
            let models = models(&node, demand, &published);
            learned_loads(&node, &orders, of_models, &models, now)
        } else {
            (plan::due_loads(&targets, &assigned, &published), wave::ceiling(targets.len()))
        };
        node.metrics.loads_limit.set(i64::try_from(limit).unwrap_or(i64::MAX));
        start(&node, orders, due, now);
    }
}

/// Starts orders, except those to targets whose last one has just failed, and to targets that load
/// for another one of the models that share them.
fn start(node: &Rc<Node>, mut orders: RefMut<'_, LoadOrders>, due: Vec<DueLoad>, now: Instant) {
    for due in due {
        if !orders.is_paused(&due.target, now) && !orders.is_loading(&due.target) {
            orders.loading.insert(due.target.clone(), due.clone());
            monoio::spawn(order(node.clone(), due));
        }
    }
    count_loads(node, &orders);
}

fn count_loads(node: &Node, orders: &LoadOrders) {
    node.metrics.loads.set(i64::try_from(orders.loading.len()).unwrap_or(i64::MAX));
}

/// Returns the models that jobs use, as input of the decision. A model without an open job has the
/// lowest rank.
fn models(
    node: &Node,
    demand: BTreeMap<Name, u64>,
    published: &BTreeMap<Name, u64>,
) -> BTreeMap<Name, Model> {
    let mut open_steps = node.jobs.open_steps();
    let ranks = node.jobs.ranks(&node.view.deployment());
    let model = |(name, demand): (Name, u64)| {
        let published = plan::newest(&name, published);
        let open_steps = open_steps.remove(&name).unwrap_or_default();
        let rank = ranks.get(&name).copied().unwrap_or(u32::MAX);
        (name, Model { published, demand, open_steps, rank })
    };
    demand.into_iter().map(model).collect()
}

/// Returns the loads that are due by the learned pace, and the limit of loads in progress.
fn learned_loads(
    node: &Node,
    orders: &LoadOrders,
    mut targets: Vec<wave::Target>,
    models: &BTreeMap<Name, Model>,
    now: Instant,
) -> (Vec<DueLoad>, usize) {
    for target in &mut targets {
        target.state = orders.state(&target.id, &target.model, now);
    }
    let limit = orders.pace.limit(orders.targets);
    // Without those of targets that have left in the meantime.
    let in_progress =
        targets.iter().filter(|target| matches!(target.state, State::Loading(_))).count();
    let due = wave::due(&targets, models, limit.saturating_sub(in_progress));
    if !due.is_empty() {
        let needs = wave::needs(&targets, models);
        slog::info!(node.log, "loads: chosen"; "loads" => due.len(),
            "in_progress" => in_progress, "limit" => limit,
            "usual_ms" => orders.pace.first_report().as_millis(),
            "models" => needs.iter().map(ToString::to_string).collect::<Vec<_>>().join(", "));
    }
    (due, limit)
}

/// Carries out one load, and records its outcome.
async fn order(node: Rc<Node>, due: DueLoad) {
    let began = BootClock.now();
    let target = node.view.targets.borrow().get(&due.target).cloned();
    let outcome = match target {
        Some(target) => load(&node, &target.registration, &due).await,
        None => "target_gone",
    };
    slog::info!(node.log, "loads: order finished"; "target" => &*due.target,
        "model" => &*due.model, "version" => due.version, "outcome" => outcome,
        "ms" => BootClock.now().since(began).as_millis());
    node.metrics.orders.with_label_values(&["load", outcome]).inc();
    let mut orders = node.load_orders.borrow_mut();
    orders.end(&due.target, outcome, node.settings().scheduling.adaptive);
    count_loads(&node, &orders);
}

/// Orders a target to load weights and waits until it has them. Returns the outcome for
/// logs and metrics.
async fn load(node: &Rc<Node>, target: &Registration, due: &DueLoad) -> &'static str {
    if node.paths.are_lost() {
        return "paths_lost";
    }
    let Some(report) = report(node, target).await else { return "no_report" };
    record_report(node, target, &report);
    if report.versions.get(&due.model).is_some_and(|version| *version >= due.version) {
        return "loaded";
    }
    if report.busy {
        return "busy";
    }
    let load = Load {
        target: target.id.clone(),
        model: due.model.clone(),
        version: due.version,
        after_orders: report.orders,
    };
    let Some(sender) = node.duties.permit() else { return "lease_lost" };
    slog::info!(node.log, "loads: sending order"; "target" => &*target.id, "model" => &*due.model,
        "version" => due.version, "after_orders" => report.orders, "epoch" => sender.epoch);
    let response = send(node, target, &node.wire_format.load(&load, &sender)).await;
    match response.map(|response| response.head.status) {
        Some(200) => return "loaded",
        Some(202) => {}
        Some(_) => return "refused",
        // The target may still carry out the order, and then refuses a repeated one.
        None => return "no_answer",
    }
    wait_until_loaded(node, target, due).await
}

/// Waits until a target that has accepted an order has the weights. Returns the outcome.
async fn wait_until_loaded(node: &Rc<Node>, target: &Registration, due: &DueLoad) -> &'static str {
    let accepted = BootClock.now();
    let is_adaptive = node.settings().scheduling.adaptive;
    let (first, interval) = if is_adaptive {
        (node.load_orders.borrow().pace.first_report(), Pace::REPORT_INTERVAL)
    } else {
        (FIRST_POLL_DELAY, POLL_INTERVAL)
    };
    // A load whose end was not seen in time says nothing about the pace.
    let mut reports = Some(0);
    sleep(first).await;
    while BootClock.now().since(accepted) < LOAD_TIMEOUT {
        if let Some(report) = self::report(node, target).await {
            record_report(node, target, &report);
            if report.versions.get(&due.model).is_some_and(|version| *version >= due.version) {
                if let Some(earlier) = reports.filter(|_| is_adaptive) {
                    record_duration(node, due, accepted, earlier == 0);
                }
                return "loaded";
            }
            reports = reports.map(|count| count + 1);
        } else {
            reports = None;
        }
        let registered = node.view.targets.borrow().get(&target.id).is_some_and(|target| {
            target.registration.versions.get(&due.model).is_some_and(|have| *have >= due.version)
        });
        if registered {
            return "loaded";
        }
        sleep(interval).await;
    }
    "timeout"
}

/// Records how long a load took, and logs a change of the limit.
fn record_duration(node: &Node, due: &DueLoad, accepted: Instant, is_first: bool) {
    let mut orders = node.load_orders.borrow_mut();
    let (targets, in_progress) = (orders.targets, orders.loading.len());
    let load = Finished { accepted, reported: BootClock.now(), is_first };
    let before = orders.pace.limit(targets);
    orders.pace.record(load, targets, in_progress);
    let limit = orders.pace.limit(targets);
    if limit != before {
        slog::info!(node.log, "loads: limit changed"; "limit" => limit, "before" => before,
            "target" => &*due.target, "ms" => load.reported.since(accepted).as_millis(),
            "in_progress" => in_progress);
    }
}

fn record_report(node: &Node, target: &Registration, report: &TargetReport) {
    node.load_orders.borrow_mut().reported.insert(target.id.clone(), report.versions.clone());
}

/// Requests a target's report.
async fn report(node: &Rc<Node>, target: &Registration) -> Option<TargetReport> {
    let response = send(node, target, &node.wire_format.report_request()).await?;
    match node.wire_format.report(&response.body) {
        Ok(report) if response.head.status == 200 => Some(report),
        Ok(_) => None,
        Err(error) => {
            slog::warn!(node.log, "loads: can't decode the report"; "target" => &*target.id,
                "error" => %error);
            None
        }
    }
}

/// Sends a message to a target and returns its response, if one arrives in time.
async fn send(
    node: &Rc<Node>,
    target: &Registration,
    message: &OutgoingRequest,
) -> Option<Response> {
    let mut message = message.clone();
    message.headers.push(node.wire_format.fields().expected_target, target.id.as_bytes());
    // Orders are never sent through another node: for a target, its address tells who holds the
    // duties.
    let exchange = async {
        let (connection, _) = path::connect(node, target, Some(Reuse::Newest)).await.ok()?;
        let sent = send_message(connection, &message, target.address, MAX_REPORT).await;
        let (response, connection) = sent.ok()?;
        node.paths.responded(&target.id);
        node.observe_leaving(target, &response.head.headers);
        if let Some(connection) = connection {
            node.pool.put(&target.id, connection, &response.head.headers);
        }
        Some(response)
    };
    let response = timeout(RESPONSE_TIMEOUT, exchange).await.ok().flatten();
    if response.is_none() {
        path::doubt(node, Doubt::Silent);
    }
    response
}
