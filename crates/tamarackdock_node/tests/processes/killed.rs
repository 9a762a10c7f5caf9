use super::{
    support::{
        SAMPLES, assert_exactly_once, options, start_cluster, start_trainer, wait_for_samples,
        wait_until,
    },
    table::{holder, lease, manifest_epochs},
};
use rustix::process::Signal;

/// Numbers of samples of a step that the trainer has read when the holder is killed.
const KILL_AFTER_SAMPLES: [u64; 4] = [0, 1, 24, 48];

/// Guards against samples that are lost or delivered twice when the node that
/// holds a step is killed at the start of the step, at its first sample, and later.
#[test]
fn killed_holder_loses_and_repeats_no_sample() {
    let mut cluster = start_cluster(options());
    let steps = u64::try_from(KILL_AFTER_SAMPLES.len()).unwrap();
    let trainer = start_trainer(&cluster, steps);
    let mut epoch = None;
    for (step, samples) in (0..).zip(KILL_AFTER_SAMPLES) {
        wait_for_samples(&trainer, step * SAMPLES + samples);
        wait_until("a node holds the lease", || {
            lease(&cluster).is_some_and(|row| Some(row.epoch) > epoch)
        });
        epoch = lease(&cluster).map(|row| row.epoch);
        let killed = holder(&cluster).unwrap();
        cluster.nodes[killed].signal(Signal::KILL).unwrap();
        assert_eq!(trainer.read(|records| records.steps), step, "the step had already ended");
        cluster.replace(killed).unwrap();
        wait_until("the step is complete", || trainer.read(|records| records.steps) > step);
    }
    assert_exactly_once(&trainer, steps);
    let mut epochs = manifest_epochs(&cluster);
    epochs.dedup();
    assert!(epochs.len() >= KILL_AFTER_SAMPLES.len(), "the steps had only the holders {epochs:?}");
}
