use std::time::Duration;

use super::support::{assert_none_failed, options, start_app, start_cluster, wait_until};
use standin::world;
use tamarackdock_config::deployment::Limits;

const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Deadline of an app's call.
const APP_DEADLINE: Duration = Duration::from_secs(5);
/// Index of an app engine of the default deployment.
const SILENT_ENGINE: usize = 2;

/// Guards against calls that hang or fail because one engine stops responding on
/// open connections.
#[test]
fn silent_engine_delays_app_calls_only_within_their_deadline() {
    let limits = Limits {
        first_byte_ms: RESPONSE_TIMEOUT,
        between_bytes_ms: RESPONSE_TIMEOUT,
        ..Limits::default()
    };
    let cluster = start_cluster(world::Options { limits, proxied: true, ..options() });
    let mut apps = [start_app(&cluster, false), start_app(&cluster, true)];
    let proxy = &cluster.world.engine_proxies[SILENT_ENGINE];
    wait_until("the engine has answered", || proxy.counts().bytes_to_caller > 0);
    proxy.faults().silent = true;
    for app in &apps {
        let before = app.read(|records| records.asked);
        wait_until("the app has asked on", || app.read(|records| records.asked >= before + 50));
    }
    apps.iter_mut().for_each(standin::app::App::stop);
    for app in &apps {
        assert_none_failed(app);
        let slowest = app.read(|records| records.latency(1.0)).unwrap();
        assert!(slowest < APP_DEADLINE, "an answer took {slowest:?}");
    }
    assert_eq!(cluster.world.requests_with_key(), 0);
}
