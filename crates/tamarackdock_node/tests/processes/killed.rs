use super::{
    support::{SAMPLES, assert_exactly_once, cluster, options, trainer, until, until_samples},
    table::{holder, lease, manifest_epochs},
};
use rustix::process::Signal;

/// Samples that the trainer has read of a step when the holder is killed.
const POINTS: [u64; 4] = [0, 1, 24, 48];

/// Guards against samples that are lost or delivered twice when the node that
/// holds a step is killed at its begin, at its first sample, and later.
#[test]
fn killed_holder_loses_and_repeats_no_sample() {
    let mut cluster = cluster(options());
    let steps = u64::try_from(POINTS.len()).unwrap();
    let trainer = trainer(&cluster, steps);
    let mut epoch = None;
    for (step, point) in (0..).zip(POINTS) {
        until_samples(&trainer, step * SAMPLES + point);
        until("a node holds the lease", || {
            lease(&cluster).is_some_and(|row| Some(row.epoch) > epoch)
        });
        epoch = lease(&cluster).map(|row| row.epoch);
        let killed = holder(&cluster).unwrap();
        cluster.nodes[killed].signal(Signal::KILL).unwrap();
        assert_eq!(trainer.read(|records| records.steps), step, "the step had already ended");
        cluster.replace(killed).unwrap();
        until("the step is complete", || trainer.read(|records| records.steps) > step);
    }
    assert_exactly_once(&trainer, steps);
    let mut epochs = manifest_epochs(&cluster);
    epochs.dedup();
    assert!(epochs.len() >= POINTS.len(), "the steps had only the holders {epochs:?}");
}
