use std::{thread, time::Duration};

use super::{
    support::{SAMPLES, assert_exactly_once, cluster, options, trainer, until_samples},
    table::manifest_epochs,
};

const OUTAGE: Duration = Duration::from_secs(8);

/// Guards against samples that are lost or delivered twice when the store is
/// down in the middle of a step for longer than the step's lease.
#[test]
fn store_outage_loses_and_repeats_no_sample() {
    let cluster = cluster(options());
    let trainer = trainer(&cluster, 2);
    until_samples(&trainer, SAMPLES / 4);
    cluster.world.platform.set_down(true);
    assert_eq!(trainer.read(|records| records.steps), 0, "the step had already ended");
    thread::sleep(OUTAGE);
    cluster.world.platform.set_down(false);
    assert_exactly_once(&trainer, 2);
    manifest_epochs(&cluster);
}

/// Guards against writes that are taken for failed, or made twice, when they
/// took effect and their response was lost.
#[test]
fn lost_store_responses_lose_and_repeat_no_sample() {
    let cluster = cluster(options());
    cluster.world.platform.state().faults.lose_every = 3;
    let trainer = trainer(&cluster, 4);
    assert_exactly_once(&trainer, 4);
    let lost = cluster.world.platform.state().faults.lost;
    assert!(lost >= 4, "only {lost} responses were lost");
    manifest_epochs(&cluster);
}
