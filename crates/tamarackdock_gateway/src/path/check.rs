//! Checks of the paths, by connections to some targets, and attempts to get lost paths back.

use std::{rc::Rc, time::Duration};

use futures_util::{StreamExt, stream::FuturesUnordered};
use monoio::time::sleep;
use tamarackdock_path::{Doubt, PROBE_INTERVAL};
use tamarackdock_types::clock::{BootClock, Clock, Instant};

use crate::{
    http::{Connection, Headers},
    node::Node,
    target::Registration,
};

/// Time within which a connection must open. A round trip takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// When a check begins each of its connections, unless one has opened before. A single target, or
/// a whole data centre of them, can be dead; and most checks end with the first connection, which
/// is expensive for targets.
const CHECK_DELAYS_MS: [u64; 5] = [0, 40, 40, 80, 80];
/// The same for an attempt to get lost paths back.
const PROBE_DELAYS_MS: [u64; 2] = [0, 0];

/// Begins a check of the paths unless other observations speak against the doubt.
pub(crate) fn doubt(node: &Rc<Node>, doubt: Doubt) {
    if node.paths.paths.borrow_mut().begin_check(doubt, BootClock.now()) {
        monoio::spawn(check(node.clone(), doubt));
    }
}

/// Returns whether this node has lost its paths, after a connection to a target did not open or
/// broke. Waits for the end of a check.
pub(crate) async fn is_lost_after(node: &Rc<Node>, observation: Doubt) -> bool {
    let state = &node.paths;
    loop {
        doubt(node, observation);
        let seen = state.changed.count();
        if !state.paths.borrow().are_checked() {
            return state.are_lost();
        }
        state.changed.changed_since(seen).await;
    }
}

async fn check(node: Rc<Node>, doubt: Doubt) {
    let began = BootClock.now();
    let (targets, opened) = open_any(&node, &CHECK_DELAYS_MS).await;
    let now = BootClock.now();
    let is_lost = node.paths.paths.borrow_mut().checked(opened || targets == 0, now);
    slog::info!(node.log, "paths: checked"; "doubt" => ?doubt, "targets" => targets,
        "opened" => opened, "lost" => is_lost, "ms" => now.since(began).as_millis());
    if is_lost {
        slog::warn!(node.log, "paths: lost to all targets");
        node.metrics.paths_lost.set(1);
        // What was observed since may say something of the paths only.
        node.target_loads.borrow_mut().forget_failures();
        node.view.targets.borrow_mut().forget_doubts();
        node.outlook.borrow_mut().forget_failures();
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
        open_any(&node, &PROBE_DELAYS_MS).await;
    }
    node.paths.probing.set(false);
    slog::warn!(node.log, "paths: back"; "lost_ms" => BootClock.now().since(lost).as_millis());
    node.metrics.paths_lost.set(0);
    node.paths.changed.notify_all();
    node.jobs.changed.notify_all();
}

/// Opens a connection to one of several targets, which later requests use. Begins one for each of
/// the delays until one has opened. Returns the number of targets and whether one has opened.
async fn open_any(node: &Rc<Node>, delays_ms: &[u64]) -> (usize, bool) {
    let targets = choose(node, delays_ms.len());
    let mut opening: FuturesUnordered<_> = targets
        .iter()
        .zip(delays_ms)
        .map(async |(target, delay)| {
            sleep(Duration::from_millis(*delay)).await;
            (target, Connection::open(target.address, CONNECT_TIMEOUT).await)
        })
        .collect();
    while let Some((target, opened)) = opening.next().await {
        let Ok(connection) = opened else { continue };
        node.paths.opened(&target.id);
        node.pool.put(&target.id, connection, &Headers::default());
        return (targets.len(), true);
    }
    (targets.len(), false)
}

/// Returns up to `count` targets, in different data centres as far as there are such.
fn choose(node: &Node, count: usize) -> Vec<Registration> {
    let targets = node.view.targets.borrow();
    let evacuated = node.view.evacuated.borrow();
    let usable = targets.iter().map(|target| &target.registration);
    let usable = usable.filter(|it| !it.draining && !evacuated.contains(&it.data_centre));
    let mut usable: Vec<&Registration> = usable.collect();
    let mut chosen: Vec<Registration> = Vec::new();
    while chosen.len() < count && !usable.is_empty() {
        let start = usize::try_from(rand::random::<u32>()).unwrap_or_default() % usable.len();
        usable.rotate_left(start);
        let known = |it: &&Registration| chosen.iter().any(|one| one.data_centre == it.data_centre);
        let next = usable.iter().position(|it| !known(it)).unwrap_or_default();
        chosen.push(usable.remove(next).clone());
    }
    chosen
}
