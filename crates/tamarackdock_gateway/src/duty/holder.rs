//! The lease of the duties. See `docs/design.md`, section 4.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use tamarackdock_lease::{Action, Input, Lease, Operations, Terms};
use tamarackdock_types::{
    HostName,
    clock::{BootClock, Clock, Instant},
};

use crate::{batch::adopt, deployment::Name, dialect::Sender, members::Run, node::Node};

/// Nodes that look at the lease. All of them are lost at once only with a good
/// part of the deployment, and others take their place when their rows lapse.
const CANDIDATES: usize = 8;
/// Name of the lease.
const LEASE: &str = "duties";
/// Time beyond the bound on turns of holders until a lease can be taken.
const TAKE_MARGIN: Duration = Duration::from_millis(200);
/// Error of clocks over a lease, and the time between a check and its send.
const CLOCK_MARGIN: Duration = Duration::from_millis(400);
/// Time between looks of a candidate.
const POLL: Duration = Duration::from_millis(450);
/// Time from the decision to send an order until it is sent.
const SEND_WINDOW: Duration = Duration::from_millis(100);
/// Time that a sent order needs to arrive.
const DELIVERY: Duration = Duration::from_millis(400);

/// The lease and what is known of it.
pub(crate) struct Holder {
    lease: RefCell<Lease>,
    host: Name,
    /// Whether the lease was given up for good.
    released: Cell<bool>,
}

impl Holder {
    /// Makes a candidate for the duties.
    pub(crate) fn new(host: HostName, name: Name, turns: Duration, run: u64) -> Self {
        let terms = Terms {
            duration: turns + TAKE_MARGIN,
            margin: CLOCK_MARGIN,
            poll: POLL,
            send_window: SEND_WINDOW,
            delivery: DELIVERY,
        };
        let operations = Operations::new(host.as_str(), run);
        let lease = RefCell::new(Lease::new(LEASE, host, terms, operations));
        Self { lease, host: name, released: Cell::new(false) }
    }

    /// Returns under whose name an order may be sent right now. To be asked
    /// directly before each send.
    pub(crate) fn permit(&self) -> Option<Sender> {
        let now = BootClock.now();
        let lease = self.lease.borrow();
        let held = lease.held()?;
        let epoch = held.permit(now).filter(|_| held.is_quiet(now))?;
        Some(Sender { holder: self.host.clone(), epoch: epoch.0 })
    }

    /// Gives the lease up and waits until the store knows, or for a while.
    pub(crate) async fn release(&self, within: Duration) {
        let until = BootClock.now() + within;
        self.released.set(true);
        self.lease.borrow_mut().step(BootClock.now(), Input::Release);
        while !self.lease.borrow().is_idle() && BootClock.now() < until {
            monoio::time::sleep(POLL / 10).await;
        }
    }
}

/// Returns whether a node that does not hold the lease is a candidate for it. Few of
/// many nodes are, so that the store is not asked by all of them.
pub(crate) fn is_candidate(own: &Run, live: &[Run]) -> bool {
    adopt::rank(LEASE, own, live) < CANDIDATES
}

/// Drives the lease for ever.
pub(crate) async fn run(node: Rc<Node>) {
    let (holder, store, log) = (&node.duties, &node.store, &node.log);
    let mut inputs = Vec::new();
    let mut wake = Instant::default();
    let mut wanted = false;
    loop {
        // A holder stays one when nodes come that rank before it.
        let holds = holder.lease.borrow().held().is_some();
        let wants = holds || is_candidate(&node.members.own, &node.members.live());
        if wants != wanted && !holder.released.get() {
            wanted = wants;
            inputs.push(if wants { Input::Want } else { Input::Release });
        }
        let Some(input) = inputs.pop() else {
            let pause = wake.since(BootClock.now()).min(POLL / 3);
            monoio::time::sleep(pause.max(Duration::from_millis(5))).await;
            inputs.push(Input::Tick);
            continue;
        };
        let actions = holder.lease.borrow_mut().step(BootClock.now(), input);
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
                Action::Wake(at) => wake = at,
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
