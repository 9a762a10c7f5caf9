use std::{thread, time::Duration};

use super::{
    support::{
        SAMPLES, assert_exactly_once, options, start_cluster, start_trainer, wait_for_samples,
    },
    table::manifest_epochs,
};

const OUTAGE: Duration = Duration::from_secs(8);

/// Guards against samples that are lost or delivered twice when the store is down
/// during a step for longer than the step's lease.
#[test]
fn store_outage_loses_and_repeats_no_sample() {
    let cluster = start_cluster(options());
    let trainer = start_trainer(&cluster, 2);
    wait_for_samples(&trainer, SAMPLES / 4);
    cluster.world.platform.set_down(true);
    assert_eq!(trainer.read(|records| records.steps), 0, "the step had already ended");
    thread::sleep(OUTAGE);
    cluster.world.platform.set_down(false);
    assert_exactly_once(&trainer, 2);
    manifest_epochs(&cluster);
}

/// Guards against writes that are considered failed, or made twice, although they
/// took effect, because their response was lost.
#[test]
fn lost_store_responses_lose_and_repeat_no_sample() {
    let cluster = start_cluster(options());
    cluster.world.platform.state().faults.lose_every = 3;
    let trainer = start_trainer(&cluster, 4);
    assert_exactly_once(&trainer, 4);
    let lost = cluster.world.platform.state().faults.lost_responses;
    assert!(lost >= 4, "only {lost} responses were lost");
    manifest_epochs(&cluster);
}
