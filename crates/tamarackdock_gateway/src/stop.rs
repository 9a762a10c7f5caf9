//! Signals, changed settings, and the planned stop.

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

use crate::{batch, duty, members, node::Node, pace, settings::Settings};

/// Time between looks for signals.
const SIGNAL_INTERVAL: Duration = Duration::from_millis(50);
/// Looks for signals between looks at the settings file.
const LOOKS_PER_FILE: u32 = 20;
/// Time until the balancer has seen two failed health checks, which it makes
/// once a second. New connections come until then.
const LEAVE_TIME: Duration = Duration::from_millis(2600);
/// Time for open calls after the balancer sends no more, as a share of the time
/// until the process is killed.
const STOP_SHARE: f64 = 0.8;
/// Share of the time that is left which the hand-over of batch jobs may take.
const HAND_OVER_SHARE: f64 = 0.7;
/// Longest time to give up the lease.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(800);
/// Time between looks whether all calls have ended.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);

/// Waits for a planned stop, and carries it out.
pub(crate) async fn run(node: &Rc<Node>, settings_path: &str) {
    let term = flag(node, SIGTERM);
    let hup = flag(node, SIGHUP);
    let mut modified = modified_at(settings_path);
    let mut looks = 0;
    while !term.load(Ordering::Relaxed) {
        sleep(SIGNAL_INTERVAL).await;
        looks += 1;
        let due = looks % LOOKS_PER_FILE == 0;
        let asked = hup.swap(false, Ordering::Relaxed);
        if asked || (due && modified_at(settings_path) != modified) {
            modified = modified_at(settings_path);
            reload(node, settings_path, asked);
        }
    }
    stop(node).await;
}

fn flag(node: &Node, signal: i32) -> Arc<AtomicBool> {
    let flag = Arc::new(AtomicBool::new(false));
    if let Err(error) = signal_hook::flag::register(signal, flag.clone()) {
        slog::error!(node.log, "node: signal not handled";
            "signal" => signal, "error" => %error);
    }
    flag
}

fn modified_at(path: &str) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|file| file.modified()).ok()
}

fn reload(node: &Node, path: &str, asked: bool) {
    match Settings::read(path) {
        Ok(settings) => {
            slog::info!(node.log, "node: settings reloaded"; "by_signal" => asked);
            node.set_settings(settings);
        }
        Err(error) => {
            slog::error!(node.log, "node: settings kept"; "error" => %error);
        }
    }
}

async fn stop(node: &Rc<Node>) {
    let began = BootClock.now();
    let limit = node.settings().bounds.stop.mul_f64(STOP_SHARE);
    slog::info!(node.log, "node: stop begins"; "calls" => node.calls.get(),
        "jobs" => node.jobs.open().len());
    node.leave();
    node.duties.release(RELEASE_TIMEOUT).await;
    if let Err(error) = members::renew(node, pace::RENEWALS.shortest).await {
        node.store_failed("renew", &error);
    }
    let left = limit.saturating_sub(BootClock.now().since(began));
    batch::end::hand_over(node, left.mul_f64(HAND_OVER_SHARE)).await;
    if let Err(error) = duty::usage::flush(node).await {
        node.store_failed("usage", &error);
    }
    sleep(LEAVE_TIME.saturating_sub(BootClock.now().since(began))).await;
    node.close();
    while node.calls.get() > 0 && BootClock.now().since(began) < limit {
        sleep(DRAIN_INTERVAL).await;
    }
    if let Err(error) = duty::usage::flush(node).await {
        node.store_failed("usage", &error);
    }
    slog::info!(node.log, "node: stopped"; "calls" => node.calls.get(),
        "ms" => BootClock.now().since(began).as_millis());
    node.output.flush_now();
}
