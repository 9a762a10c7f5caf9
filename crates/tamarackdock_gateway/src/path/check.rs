//! Checks of the paths: connections to some targets, opened at the same time.

use std::{rc::Rc, time::Duration};

use futures_util::future::join_all;
use monoio::time::sleep;
use tamarackdock_path::{Doubt, PROBE_INTERVAL};
use tamarackdock_types::clock::{BootClock, Clock, Instant};

use crate::{
    http::{Connection, Headers},
    node::Node,
    target::Registration,
};

/// Time within which a connection must open. A round trip takes a few milliseconds, and a lost
/// packet of one of two connections is no loss of the paths.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Targets to which a check opens connections. One alone may be dead.
const TARGETS: usize = 2;

/// Begins a check of the paths unless other observations speak against the doubt.
pub(crate) fn doubt(node: &Rc<Node>, doubt: Doubt) {
    if node.paths.paths.borrow_mut().begin_check(doubt, BootClock.now()) {
        monoio::spawn(check(node.clone(), doubt));
    }
}

/// Returns whether this node has lost its paths, after a connection to a target did not open or
/// broke. Waits for the end of a check.
pub(crate) async fn is_lost_after(node: &Rc<Node>, observation: Doubt) -> bool {
    doubt(node, observation);
    let state = &node.paths;
    loop {
        let seen = state.changed.count();
        if !state.paths.borrow().are_checked() {
            return state.are_lost();
        }
        state.changed.changed_since(seen).await;
    }
}

async fn check(node: Rc<Node>, doubt: Doubt) {
    let began = BootClock.now();
    let (targets, opened) = open_some(&node).await;
    let now = BootClock.now();
    let is_lost = node.paths.paths.borrow_mut().checked(opened > 0 || targets == 0, now);
    slog::info!(node.log, "paths: checked"; "doubt" => ?doubt, "targets" => targets,
        "opened" => opened, "lost" => is_lost, "ms" => now.since(began).as_millis());
    if is_lost {
        slog::warn!(node.log, "paths: lost to all targets");
        node.metrics.paths_lost.set(1);
        // What was observed since may say something of the paths only.
        node.target_loads.borrow_mut().forget_failures();
        node.jobs.changed.notify_all();
        if !node.paths.probing.replace(true) {
            monoio::spawn(probe(node.clone(), now));
        }
    }
    node.paths.changed.notify_all();
}

/// Tries the paths at intervals until one is back.
async fn probe(node: Rc<Node>, lost: Instant) {
    while node.paths.are_lost() {
        sleep(PROBE_INTERVAL).await;
        open_some(&node).await;
    }
    node.paths.probing.set(false);
    slog::warn!(node.log, "paths: back"; "lost_ms" => BootClock.now().since(lost).as_millis());
    node.metrics.paths_lost.set(0);
    node.paths.changed.notify_all();
    node.jobs.changed.notify_all();
}

/// Opens connections to some targets, which later requests use. Returns the number of targets
/// and of connections.
async fn open_some(node: &Rc<Node>) -> (usize, usize) {
    let targets = choose(node);
    let opened = join_all(targets.iter().map(async |target| {
        let opened = Connection::open(target.address, CONNECT_TIMEOUT).await;
        if let Ok(connection) = opened {
            node.paths.opened(&target.id);
            node.pool.put(&target.id, connection, &Headers::default());
            return 1;
        }
        0
    }));
    (targets.len(), opened.await.into_iter().sum())
}

/// Returns targets in different data centres, as far as there are such. A whole data centre can
/// be dead.
fn choose(node: &Node) -> Vec<Registration> {
    let targets = node.view.targets.borrow();
    let evacuated = node.view.evacuated.borrow();
    let usable = targets.iter().map(|target| &target.registration);
    let usable = usable.filter(|it| !it.draining && !evacuated.contains(&it.data_centre));
    let mut usable: Vec<&Registration> = usable.collect();
    if usable.is_empty() {
        return Vec::new();
    }
    let start = usize::try_from(rand::random::<u32>()).unwrap_or_default() % usable.len();
    usable.rotate_left(start);
    let mut chosen = vec![usable.remove(0)];
    while chosen.len() < TARGETS && !usable.is_empty() {
        let elsewhere = usable
            .iter()
            .position(|it| chosen.iter().all(|known| known.data_centre != it.data_centre));
        chosen.push(usable.remove(elsewhere.unwrap_or_default()));
    }
    chosen.into_iter().cloned().collect()
}
