//! Handles operating system signals, reloads changed settings, and performs the planned stop.
//! See "Planned stops" in `docs/platform-system.md`.

use std::{
    cell::Cell,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, SystemTime},
};

use monoio::time::{sleep, timeout};
use signal_hook::consts::{SIGHUP, SIGTERM};
use tamarackdock_platform::Error;
use tamarackdock_types::clock::{BootClock, Clock, Instant};

use crate::{
    batch, duty, grace::Grace, limit::permits, members, node::Node, periodic, settings::Settings,
};

/// Time between polls for signals.
const SIGNAL_INTERVAL: Duration = Duration::from_millis(50);
/// Polls for signals per check of the settings file.
const POLLS_PER_SETTINGS_CHECK: u32 = 20;
/// Time until the balancer has seen two failed health checks, which it sends once
/// a second. New connections arrive until then.
const LEAVE_TIME: Duration = Duration::from_millis(2600);
/// Time before the kill at which a planned stop no longer waits for open calls: the last usage
/// counts and log lines are written then.
const EXIT_TIME: Duration = Duration::from_millis(500);
/// Largest part of the time until the kill that [`EXIT_TIME`] may take. Calls that targets
/// answer in the first five sixths of that time must not be cut.
const EXIT_DIVISOR: u32 = 10;
/// Time in which the last usage counts are written.
const LAST_FLUSH_TIMEOUT: Duration = Duration::from_millis(300);
/// Share of the remaining time that the hand-over of batch jobs may take.
const HAND_OVER_SHARE: f64 = 0.7;
/// Longest time to release the lease.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(800);
/// Time between checks whether all calls have ended.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);

/// Waits for SIGTERM, reloads settings meanwhile, and then performs the planned stop.
pub(crate) async fn run(node: &Rc<Node>, settings_path: &str) {
    let term = register_signal(node, SIGTERM);
    let hup = register_signal(node, SIGHUP);
    let mut modified = modified_at(settings_path);
    let mut polls = 0;
    while !term.load(Ordering::Relaxed) {
        sleep(SIGNAL_INTERVAL).await;
        polls += 1;
        let due = polls % POLLS_PER_SETTINGS_CHECK == 0;
        let by_signal = hup.swap(false, Ordering::Relaxed);
        if by_signal || (due && modified_at(settings_path) != modified) {
            modified = modified_at(settings_path);
            reload(node, settings_path, by_signal);
        }
    }
    stop(node).await;
}

/// Returns a flag that is set whenever the process receives a signal.
fn register_signal(node: &Node, signal: i32) -> Arc<AtomicBool> {
    let flag = Arc::new(AtomicBool::new(false));
    if let Err(error) = signal_hook::flag::register(signal, flag.clone()) {
        slog::error!(node.log, "node: can't register a signal handler";
            "signal" => signal, "error" => %error);
    }
    flag
}

fn modified_at(path: &str) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|file| file.modified()).ok()
}

fn reload(node: &Node, path: &str, by_signal: bool) {
    match Settings::read(path) {
        Ok(settings) => {
            slog::info!(node.log, "node: settings reloaded"; "by_signal" => by_signal);
            node.set_settings(settings);
        }
        Err(error) => {
            slog::error!(node.log, "node: settings not reloaded, the old ones stay in force"; "error" => %error);
        }
    }
}

/// Returns for how long a planned stop waits for open calls, if the process is killed `kill_after`
/// the signal. The signal can be noticed late by [`SIGNAL_INTERVAL`].
pub(crate) fn waiting_time(kill_after: Duration) -> Duration {
    let exit_time = EXIT_TIME.min(kill_after / EXIT_DIVISOR);
    kill_after.saturating_sub(exit_time + SIGNAL_INTERVAL)
}

/// Closes connections without a request once the balancer sends no more callers, however long
/// the hand-over of jobs takes.
async fn close_idle(node: Rc<Node>) {
    sleep(LEAVE_TIME).await;
    node.shutdown.close();
}

/// Ends the requests that are still in progress while their answers can be written.
async fn end_requests(node: Rc<Node>, at: Instant) {
    sleep(at.since(BootClock.now())).await;
    slog::info!(node.log, "node: planned stop ends requests"; "calls" => node.calls.count());
    node.shutdown.end();
}

/// Gives up what other nodes take over: the lease, the jobs and the usage counts.
async fn hand_over(node: &Rc<Node>, until: Instant) {
    node.duties.release(RELEASE_TIMEOUT).await;
    if let Err(error) =
        members::renew(node, periodic::RENEWALS.shortest, permits::own_notices(node)).await
    {
        node.store_failed("renew", &error);
    }
    let left = until.since(BootClock.now());
    batch::end::hand_over(node, left.mul_f64(HAND_OVER_SHARE)).await;
    if let Err(error) = duty::usage::flush(node).await {
        node.store_failed("usage", &error);
    }
}

async fn run_hand_over(node: Rc<Node>, until: Instant, is_done: Rc<Cell<bool>>) {
    hand_over(&node, until).await;
    is_done.set(true);
}

async fn stop(node: &Rc<Node>) {
    let began = BootClock.now();
    let grace = Grace::new(began, node.settings().bounds.stop);
    slog::info!(node.log, "node: planned stop started"; "calls" => node.calls.count(),
        "jobs" => node.jobs.open_jobs().len());
    node.shutdown.begin(grace);
    monoio::spawn(close_idle(node.clone()));
    monoio::spawn(end_requests(node.clone(), grace.answers_at()));
    let is_handed_over = Rc::new(Cell::new(false));
    monoio::spawn(run_hand_over(node.clone(), grace.waits_until(), is_handed_over.clone()));
    // Calls that come while the counts are written are waited for, too. Nothing is received
    // between the last look at them and the end of the process.
    loop {
        let is_due = || BootClock.now() >= grace.waits_until();
        let is_idle = || node.calls.count() == 0;
        let is_done = || is_idle() && node.shutdown.is_closing() && is_handed_over.get();
        while !is_done() && !is_due() {
            sleep(DRAIN_INTERVAL).await;
        }
        match timeout(LAST_FLUSH_TIMEOUT, duty::usage::flush(node)).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => node.store_failed("usage", &error),
            Err(_) => node.store_failed("usage", &Error::Unknown),
        }
        if is_idle() || is_due() {
            break;
        }
    }
    slog::info!(node.log, "node: stopped"; "calls" => node.calls.count(),
        "ms" => BootClock.now().since(began).as_millis());
    node.output.flush_now();
}
