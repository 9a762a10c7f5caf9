use std::{thread, time::Duration};

use super::support::{app, assert_own_answers, cluster, options, until};
use standin::world;

const CUTS: usize = 30;
const CUT: Duration = Duration::from_millis(10);

/// Guards against answers that are crossed or called complete although they
/// are not, and against a key that is passed on, while connections to engines
/// and to nodes are cut again and again.
#[test]
fn cut_connections_cross_and_truncate_no_answer() {
    let cluster = cluster(world::Options { proxied: true, ..options() });
    let mut apps = [app(&cluster, false), app(&cluster, true)];
    let engines = &cluster.world.engine_proxies;
    for round in 0..CUTS {
        let before = apps.each_ref().map(|app| app.read(|records| records.asked));
        let front = &cluster.fronts[round % cluster.fronts.len()];
        let cut = if round % 3 == 0 { front } else { &engines[[2, 5][round % 2]] };
        cut.faults().cut = true;
        thread::sleep(CUT);
        cut.faults().cut = false;
        until("the apps have asked on", || {
            apps.iter().zip(before).all(|(app, asked)| app.read(|r| r.asked) > asked)
        });
    }
    let before = apps.each_ref().map(|app| app.read(|records| records.answered));
    until("the apps get answers again", || {
        apps.iter().zip(before).all(|(app, answered)| app.read(|r| r.answered) > answered)
    });
    apps.iter_mut().for_each(standin::app::App::stop);
    apps.iter().for_each(assert_own_answers);
    assert_eq!(cluster.world.keys_seen(), 0);
}
