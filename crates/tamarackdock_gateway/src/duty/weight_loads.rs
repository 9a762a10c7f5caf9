//! Orders to targets to load weights.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use monoio::time::{sleep, timeout};
use tamarackdock_path::Doubt;
use tamarackdock_types::clock::{BootClock, Clock, Instant};

use super::plan::{self, DueLoad, PlanTarget};
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
/// Largest report of a target, in bytes.
const MAX_REPORT: usize = 256 * 1024;

/// State of the load orders that this node sends as holder of the duties.
#[derive(Debug, Default)]
pub(crate) struct LoadOrders {
    /// Model of the order in progress, by target.
    loading: BTreeMap<Name, Name>,
    /// Weight versions by target and model that targets have reported, which can be newer
    /// than registered ones.
    reported: BTreeMap<Name, BTreeMap<Name, u64>>,
    /// Earliest time of the next order, by target.
    not_before: BTreeMap<Name, Instant>,
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
            let loading = orders.loading.get(&entry.id).cloned();
            PlanTarget { id: entry.id.clone(), versions, loading }
        })
        .collect()
}

/// Returns the model to which each target is assigned.
pub(crate) fn assignment(node: &Node) -> BTreeMap<Name, Name> {
    let published = node.view.published.borrow();
    plan::assign(&plan_targets(node), &node.jobs.demand(), &published)
}

/// Orders the loads that are due while this node holds the duties. Never returns.
pub(crate) async fn run(node: Rc<Node>) {
    loop {
        if node.duties.permit().is_none() {
            node.load_orders.borrow_mut().reported.clear();
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
        let assigned = plan::assign(&targets, &node.jobs.demand(), &published);
        for due in plan::due_loads(&targets, &assigned, &published) {
            let mut orders = node.load_orders.borrow_mut();
            if orders.not_before.get(&due.target).is_some_and(|at| now < *at) {
                continue;
            }
            orders.loading.insert(due.target.clone(), due.model.clone());
            monoio::spawn(order(node.clone(), due));
        }
    }
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
    orders.loading.remove(&due.target);
    if outcome != "loaded" {
        orders.not_before.insert(due.target.clone(), BootClock.now() + RETRY_PAUSE);
    }
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
    let accepted = BootClock.now();
    sleep(FIRST_POLL_DELAY).await;
    while BootClock.now().since(accepted) < LOAD_TIMEOUT {
        if let Some(report) = self::report(node, target).await {
            record_report(node, target, &report);
            if report.versions.get(&due.model).is_some_and(|version| *version >= due.version) {
                return "loaded";
            }
        }
        let registered = node.view.targets.borrow().get(&target.id).is_some_and(|target| {
            target.registration.versions.get(&due.model).is_some_and(|have| *have >= due.version)
        });
        if registered {
            return "loaded";
        }
        sleep(POLL_INTERVAL).await;
    }
    "timeout"
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
