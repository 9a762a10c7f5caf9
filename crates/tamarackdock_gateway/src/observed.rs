//! The exchange of observations of targets with the other nodes that run jobs, with
//! `scheduling.adaptive`. The decisions are those of [`tamarackdock_route::observed`], and
//! `docs/design/shared-observations.md` describes the exchange.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    rc::Rc,
    time::Duration,
};

use monoio::time::sleep;
use serde::{Deserialize, Serialize};
use tamarackdock_route::observed::{Fleet, Merged, Observed, Outbox, Report, Speed};
use tamarackdock_types::clock::{BootClock, Clock, Instant};

use crate::{
    deployment::Name,
    members::NodeRun,
    node::Node,
    peer::{self, PeerError, PeerRequest, PeerResponse},
    target::Registration,
};

/// Time between checks whether a report is due.
const INTERVAL: Duration = Duration::from_millis(100);
/// The same on a node that runs no jobs.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a node goes on to report after its last job, so that the others do not count
/// requests that have ended until its last report is too old.
const REPORT_AFTER: Duration = Duration::from_secs(10);
/// Time within which the jobs of one owner are taken over, so that one query is enough.
const QUERY_PAUSE: Duration = Duration::from_secs(1);

/// Observations of the other nodes, and the reports to them.
#[derive(Debug, Default)]
pub(crate) struct Observations {
    fleet: RefCell<Fleet>,
    outbox: RefCell<Outbox>,
    /// When the other owners were last asked.
    queried: Cell<Option<Instant>>,
}

impl Observations {
    /// Returns what all nodes together have observed of a target.
    pub(crate) fn merged(&self, target: &Registration, own: Option<Speed>, now: Instant) -> Merged {
        self.fleet.borrow().merged(&target.id, target.started, own, now)
    }

    /// Returns the requests of other nodes in progress on a target.
    pub(crate) fn others(&self, target: &Registration, now: Instant) -> u32 {
        self.fleet.borrow().merged(&target.id, target.started, None, now).others
    }

    /// Removes the reports of nodes that are gone.
    pub(crate) fn sweep(&self, node: &Node, now: Instant) {
        self.fleet.borrow_mut().retain(|host, number| is_live(node, host, number), now);
    }
}

/// A report of another node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Message {
    pub(crate) report: Report,
    /// Whether the node asks for the report of this one.
    #[serde(default)]
    pub(crate) wants_report: bool,
}

fn is_live(node: &Node, host: &Name, number: u64) -> bool {
    node.members.address(&NodeRun { host: host.clone(), number }).is_some()
}

/// Returns what this node has observed of the targets that it used a short time ago.
fn own(node: &Node, now: Instant) -> Vec<Observed> {
    let targets = node.view.targets.borrow();
    let loads = node.target_loads.borrow();
    let entries = targets.iter().map(|target| &target.registration);
    entries.filter_map(|entry| loads.observed(entry, now)).collect()
}

/// Returns the next report of this node.
fn next_report(node: &Node, targets: Vec<Observed>) -> Report {
    let NodeRun { host, number } = node.members.own.clone();
    node.observations.outbox.borrow_mut().report(host, number, targets)
}

/// Returns the live nodes that own jobs, without this one.
fn other_owners(node: &Node) -> BTreeSet<Name> {
    let own = &node.members.own.host;
    let live: BTreeSet<Name> = node.members.live().into_iter().map(|run| run.host).collect();
    node.jobs.owner_hosts().into_iter().filter(|host| host != own && live.contains(host)).collect()
}

/// Reports to the other nodes that run jobs until the process ends.
pub(crate) async fn run(node: Rc<Node>) {
    let mut report_until = Instant::default();
    loop {
        let now = BootClock.now();
        if node.jobs.is_busy() {
            report_until = now + REPORT_AFTER;
        }
        let is_enabled = node.settings().scheduling.adaptive && !node.is_leaving();
        if !is_enabled || now >= report_until {
            node.observations.sweep(&node, now);
            sleep(IDLE_INTERVAL).await;
            continue;
        }
        sleep(INTERVAL).await;
        let now = BootClock.now();
        node.observations.sweep(&node, now);
        let targets = own(&node, now);
        let others = other_owners(&node);
        let due = node.observations.outbox.borrow_mut().due(&targets, &others, now);
        if due.is_empty() {
            continue;
        }
        let report = next_report(&node, targets);
        for host in due {
            let message = Message { report: report.clone(), wants_report: false };
            monoio::spawn(send(node.clone(), host, message));
        }
    }
}

/// Asks the other nodes that run jobs what they have observed, as a node that has taken over a job
/// knows little of the targets.
pub(crate) fn query(node: &Rc<Node>) {
    let now = BootClock.now();
    let queried = &node.observations.queried;
    let is_recent = queried.get().is_some_and(|at| now.since(at) < QUERY_PAUSE);
    if !node.settings().scheduling.adaptive || is_recent {
        return;
    }
    queried.set(Some(now));
    // The requests of the owner before this one have ended with it.
    node.observations.sweep(node, now);
    let others = other_owners(node);
    slog::info!(node.log, "observed: other owners asked"; "nodes" => others.len());
    for host in others {
        let report = next_report(node, own(node, now));
        let message = Message { report, wants_report: true };
        monoio::spawn(send(node.clone(), host, message));
    }
}

/// Sends a report to another node, and records its answer.
async fn send(node: Rc<Node>, host: Name, message: Message) {
    let request = PeerRequest::Observed(message);
    let answer = match node.members.last_address(&host) {
        Some(address) => peer::ask(address, &request, Duration::ZERO).await,
        None => Err(PeerError::Unreachable),
    };
    let now = BootClock.now();
    let outbox = &node.observations.outbox;
    let label = match answer {
        Ok(PeerResponse::Observed(report)) => {
            outbox.borrow_mut().answered(&host, true);
            if let Some(report) = report {
                record(&node, report);
            }
            "received"
        }
        Ok(_) | Err(PeerError::Malformed) => {
            if outbox.borrow_mut().rejected(&host, now) {
                slog::info!(node.log, "observed: node skipped, as it does not know reports";
                    "host" => &*host);
            }
            "rejected"
        }
        Err(PeerError::Unreachable | PeerError::NoResponse) => {
            outbox.borrow_mut().answered(&host, false);
            "lost"
        }
    };
    node.metrics.reports_sent.with_label_values(&[label]).inc();
}

/// Records a report of another node.
fn record(node: &Node, report: Report) {
    let (host, targets) = (report.host.clone(), report.targets.len());
    let is_live = |host: &Name, number| is_live(node, host, number);
    let mut fleet = node.observations.fleet.borrow_mut();
    let known_hosts = fleet.hosts();
    let recorded = fleet.record(report, is_live, BootClock.now());
    let is_new = fleet.hosts() > known_hosts;
    drop(fleet);
    let label = match recorded {
        Ok(()) => "recorded".to_owned(),
        Err(rejection) => rejection.to_string(),
    };
    node.metrics.reports_received.with_label_values(&[label.as_str()]).inc();
    if is_new {
        slog::info!(node.log, "observed: node reports"; "host" => &*host, "targets" => targets);
    }
    node.jobs.changed.notify_all();
}

/// Serves a report of another node.
pub(crate) fn serve(node: &Node, message: Message) -> Option<Report> {
    if !node.settings().scheduling.adaptive {
        return None;
    }
    let Message { report, wants_report } = message;
    record(node, report);
    let now = BootClock.now();
    wants_report.then(|| next_report(node, own(node, now)))
}
