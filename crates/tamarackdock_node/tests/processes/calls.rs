use std::{thread, time::Duration};

use super::support::{assert_own_answers, options, start_app, start_cluster, wait_until};
use standin::world;

const ROUNDS: usize = 30;
const CUT_TIME: Duration = Duration::from_millis(10);

/// Guards against answers that reach another caller or are marked as complete
/// although they are truncated, and against a caller's key that reaches a target,
/// while connections to engines and to nodes are cut again and again.
#[test]
fn cut_connections_cross_and_truncate_no_answer() {
    let cluster = start_cluster(world::Options { proxied: true, ..options() });
    let mut apps = [start_app(&cluster, false), start_app(&cluster, true)];
    let engines = &cluster.world.engine_proxies;
    for round in 0..ROUNDS {
        let before = apps.each_ref().map(|app| app.read(|records| records.asked));
        let load_balancer = &cluster.load_balancers[round % cluster.load_balancers.len()];
        let proxy = if round % 3 == 0 { load_balancer } else { &engines[[2, 5][round % 2]] };
        proxy.faults().cut_off = true;
        thread::sleep(CUT_TIME);
        proxy.faults().cut_off = false;
        wait_until("the apps have asked on", || {
            apps.iter().zip(before).all(|(app, asked)| app.read(|r| r.asked) > asked)
        });
    }
    let before = apps.each_ref().map(|app| app.read(|records| records.answered));
    wait_until("the apps get answers again", || {
        apps.iter().zip(before).all(|(app, answered)| app.read(|r| r.answered) > answered)
    });
    apps.iter_mut().for_each(standin::app::App::stop);
    apps.iter().for_each(assert_own_answers);
    assert_eq!(cluster.world.requests_with_key(), 0);
}
