use std::{
    thread,
    time::{Duration, Instant},
};

use super::{
    support::{
        SAMPLES, assert_exactly_once, options, start_cluster, start_trainer, wait_for_samples,
        wait_until_within,
    },
    table::{holder, lease, manifest_epochs},
};
use rustix::process::Signal;

/// Three times the duration of a step's lease.
const PAUSE: Duration = Duration::from_secs(9);

/// Guards against a holder that continues after a pause longer than its lease, and
/// then loses samples, delivers them twice or commits after the takeover.
#[test]
fn paused_holder_commits_nothing_after_the_takeover() {
    let cluster = start_cluster(options());
    let trainer = start_trainer(&cluster, 3);
    wait_for_samples(&trainer, SAMPLES + SAMPLES / 4);
    let former = lease(&cluster).unwrap();
    let paused = holder(&cluster).unwrap();
    cluster.nodes[paused].signal(Signal::STOP).unwrap();
    let begin = Instant::now();
    // The balancer breaks the connections to a host that does not respond.
    cluster.load_balancers[paused].faults().cut_off = true;
    wait_until_within(PAUSE, "another node has the lease", || {
        lease(&cluster).is_some_and(|row| row.epoch > former.epoch)
    });
    thread::sleep(PAUSE.saturating_sub(begin.elapsed()));
    let taken = cluster.world.platform.state().table.commits().len();
    cluster.nodes[paused].signal(Signal::CONT).unwrap();
    cluster.load_balancers[paused].faults().cut_off = false;
    assert_exactly_once(&trainer, 3);
    wait_until_within(PAUSE, "the store has further commits", || {
        cluster.world.platform.state().table.commits().len() > taken
    });
    let epochs = manifest_epochs(&cluster);
    assert!(epochs.is_sorted(), "an old epoch came back in {epochs:?}");
    assert!(epochs.last() > Some(&former.epoch), "no commit of the next holder in {epochs:?}");
}
