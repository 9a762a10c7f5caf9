//! The lease by which one node holds the duties. See `docs/design.md`, section 4.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use tamarackdock_lease::{Action, Input, Lease, OperationIds, Timing};
use tamarackdock_types::{
    HostName,
    clock::{BootClock, Clock, Instant},
};

use crate::{batch::takeover, deployment::Name, members::NodeRun, node::Node, wire_format::Sender};

/// Number of nodes that poll the lease. All of them fail at once only together with
/// a large part of the deployment, and others replace them when their rows expire.
const CANDIDATES: usize = 8;
/// Name of the lease.
const LEASE_NAME: &str = "duties";
/// Added to the settings' bound on a change of the holder to give the duration of the
/// lease, so that it never passes to another holder within the bound.
const TAKEOVER_MARGIN: Duration = Duration::from_millis(200);
/// Clock error over the duration of a lease, plus the time between a check of the
/// lease and the send that it permits.
const CLOCK_MARGIN: Duration = Duration::from_millis(400);
/// Time between a candidate's polls of the lease.
const POLL_INTERVAL: Duration = Duration::from_millis(450);
/// Shortest time between two steps of the lease.
const SHORTEST_PAUSE: Duration = Duration::from_millis(5);
/// Time from the decision to send an order until it is sent.
const SEND_WINDOW: Duration = Duration::from_millis(100);
/// Time until a sent order has arrived.
const DELIVERY_TIME: Duration = Duration::from_millis(400);

/// This node's part in the lease of the duties.
pub(crate) struct DutyLease {
    lease: RefCell<Lease>,
    host: Name,
    /// Whether the node has released the lease for a planned stop.
    released: Cell<bool>,
}

impl DutyLease {
    /// Creates the state of a node that does not hold the lease. `change_bound` is the
    /// time within which the lease must not pass from one holder to another. `address` is an
    /// address that the process has bound exclusively, if any.
    pub(crate) fn new(
        host: HostName,
        name: Name,
        address: Option<SocketAddr>,
        change_bound: Duration,
        run: u64,
    ) -> Self {
        let timing = Timing {
            duration: change_bound + TAKEOVER_MARGIN,
            margin: CLOCK_MARGIN,
            poll: POLL_INTERVAL,
            send_window: SEND_WINDOW,
            delivery: DELIVERY_TIME,
        };
        let operation_ids = OperationIds::new(host.as_str(), run);
        let lease = RefCell::new(Lease::new(LEASE_NAME, host, address, timing, operation_ids));
        Self { lease, host: name, released: Cell::new(false) }
    }

    /// Returns the sender of an order if this node holds the duties and may send now.
    /// To be called directly before each send.
    pub(crate) fn permit(&self) -> Option<Sender> {
        let now = BootClock.now();
        let lease = self.lease.borrow();
        let held = lease.held()?;
        let epoch = held.permit(now).filter(|_| held.old_orders_expired(now))?;
        Some(Sender { holder: self.host.clone(), epoch: epoch.0 })
    }

    /// Releases the lease for good, and waits until the store has recorded it or the
    /// time is up.
    pub(crate) async fn release(&self, within: Duration) {
        let until = BootClock.now() + within;
        self.released.set(true);
        self.lease.borrow_mut().step(BootClock.now(), Input::Release);
        while !self.lease.borrow().is_idle() && BootClock.now() < until {
            monoio::time::sleep(POLL_INTERVAL / 10).await;
        }
    }
}

/// Waits until the rows of the lease can be read, and returns whether an earlier run of this process
/// holds it. Such a node is a candidate whatever its rank. Without an exclusive address, it is none.
async fn is_held_by_earlier_run(node: &Node) -> bool {
    if !node.duties.lease.borrow().can_resume() {
        return false;
    }
    let keys = node.duties.lease.borrow().keys();
    let mut failures = 0;
    loop {
        match node.store.read(keys.clone()).await {
            Ok(rows) => return node.duties.lease.borrow().is_held_by_earlier_run(&rows),
            Err(error) => node.store_failed("lease", &error),
        }
        failures += 1;
        monoio::time::sleep(node.members.retry_pause(failures)).await;
    }
}

/// Returns whether a node that does not hold the lease is a candidate for it. In a
/// large deployment only a few nodes are, so that not all of them poll the store.
/// Nodes that are known to renew their rows, `established`, come before other live ones.
pub(crate) fn is_candidate(own: &NodeRun, live: &[NodeRun], established: &[NodeRun]) -> bool {
    if established.contains(own) {
        return takeover::rank(LEASE_NAME, own, established) < CANDIDATES;
    }
    let others: Vec<_> = live.iter().filter(|run| !established.contains(run)).cloned().collect();
    established.len() + takeover::rank(LEASE_NAME, own, &others) < CANDIDATES
}

/// Returns the time until the next step of the lease, which asks for one at `wake`. Without such
/// a time it has nothing to do: most nodes of a large deployment are no candidates.
pub(crate) fn pause(wake: Option<Instant>, now: Instant) -> Duration {
    let longest = POLL_INTERVAL / 3;
    wake.map_or(longest, |at| at.since(now).clamp(SHORTEST_PAUSE, longest))
}

/// Performs the actions of the lease's state machine. Never returns.
pub(crate) async fn run(node: Rc<Node>) {
    let (duties, store, log) = (&node.duties, &node.store, &node.log);
    let mut inputs = Vec::new();
    let mut wake: Option<Instant> = None;
    let mut wanted = false;
    // A holder that lost its paths to the targets leaves the duties to others for as long as they
    // must not go from one holder to another and back.
    let mut not_before = Instant::default();
    let mut resumes = is_held_by_earlier_run(&node).await;
    if resumes {
        slog::info!(log, "duties: an earlier run of this host holds the lease");
    }
    loop {
        // A holder keeps the lease when nodes join that rank before it.
        let holds = duties.lease.borrow().held().is_some();
        resumes = resumes && duties.lease.borrow().can_resume();
        if node.paths.are_lost() {
            not_before = BootClock.now() + node.settings().bounds.lease + TAKEOVER_MARGIN;
        }
        let is_candidate = || {
            let live = node.members.live_with_paths(|_| true);
            is_candidate(&node.members.own, &live, &node.members.established(&live))
        };
        let wants = BootClock.now() >= not_before && (holds || resumes || is_candidate());
        if wants != wanted && !duties.released.get() {
            wanted = wants;
            inputs.push(if wants { Input::Acquire } else { Input::Release });
        }
        let Some(input) = inputs.pop() else {
            monoio::time::sleep(pause(wake, BootClock.now())).await;
            wake = wake.filter(|at| *at > BootClock.now());
            inputs.push(Input::Tick);
            continue;
        };
        let actions = duties.lease.borrow_mut().step(BootClock.now(), input);
        for action in actions {
            match action {
                Action::Read { request, keys } => {
                    let result = store.read(keys).await;
                    inputs.push(Input::Read { request, result });
                }
                Action::Commit { request, commit } => {
                    let result = store.commit(commit).await;
                    inputs.push(Input::Committed { request, result });
                }
                Action::Wake(at) => wake = Some(at),
                Action::Acquired(epoch) => {
                    slog::info!(log, "duties: lease acquired"; "epoch" => epoch.0);
                }
                Action::Lost(epoch) => {
                    slog::warn!(log, "duties: lease lost"; "epoch" => epoch.0);
                }
            }
        }
    }
}
