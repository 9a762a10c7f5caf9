//! Handles operating system signals, reloads changed settings, and performs the
//! planned stop.

use std::{
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, SystemTime},
};

use monoio::time::sleep;
use signal_hook::consts::{SIGHUP, SIGTERM};
use tamarackdock_types::clock::{BootClock, Clock};

use crate::{batch, duty, limit::permits, members, node::Node, periodic, settings::Settings};

/// Time between polls for signals.
const SIGNAL_INTERVAL: Duration = Duration::from_millis(50);
/// Polls for signals per check of the settings file.
const POLLS_PER_SETTINGS_CHECK: u32 = 20;
/// Time until the balancer has seen two failed health checks, which it sends once
/// a second. New connections arrive until then.
const LEAVE_TIME: Duration = Duration::from_millis(2600);
/// Share of the time until the process is killed after which a planned stop no longer
/// waits for open calls. Both times run from the start of the stop.
const STOP_SHARE: f64 = 0.8;
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

async fn stop(node: &Rc<Node>) {
    let began = BootClock.now();
    let limit = node.settings().bounds.stop.mul_f64(STOP_SHARE);
    slog::info!(node.log, "node: planned stop started"; "calls" => node.calls.count(),
        "jobs" => node.jobs.open_jobs().len());
    node.leave();
    node.duties.release(RELEASE_TIMEOUT).await;
    if let Err(error) =
        members::renew(node, periodic::RENEWALS.shortest, permits::own_notices(node)).await
    {
        node.store_failed("renew", &error);
    }
    let left = limit.saturating_sub(BootClock.now().since(began));
    batch::end::hand_over(node, left.mul_f64(HAND_OVER_SHARE)).await;
    if let Err(error) = duty::usage::flush(node).await {
        node.store_failed("usage", &error);
    }
    sleep(LEAVE_TIME.saturating_sub(BootClock.now().since(began))).await;
    node.close();
    while node.calls.count() > 0 && BootClock.now().since(began) < limit {
        sleep(DRAIN_INTERVAL).await;
    }
    if let Err(error) = duty::usage::flush(node).await {
        node.store_failed("usage", &error);
    }
    slog::info!(node.log, "node: stopped"; "calls" => node.calls.count(),
        "ms" => BootClock.now().since(began).as_millis());
    node.output.flush_now();
}
