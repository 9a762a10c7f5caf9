//! Targets of several software versions in one service.

use std::{
    collections::BTreeMap,
    thread,
    time::{Duration, Instant},
};

use platform_standin::Engine;

use crate::cluster::{Cluster, Trainer, Violations};

/// Seed of the engines' faults: streams that break in the middle of an event, and refusals.
const SEED: u64 = 7;

/// Returns the ids of requests of which a run went on after an event that another software
/// version had made, and the number of runs that went on.
fn mixed<'a>(targets: impl Iterator<Item = &'a Engine>) -> (Vec<String>, usize) {
    let mut runs: BTreeMap<String, Vec<(Instant, &str, bool)>> = BTreeMap::new();
    for target in targets {
        for run in target.runs() {
            let run = (run.id, (run.started_at, target.software(), run.resumed));
            runs.entry(run.0).or_default().push(run.1);
        }
    }
    let mut resumed = 0;
    let mut mixed = Vec::new();
    for (id, mut runs) in runs {
        runs.sort_unstable();
        let mut began_at = None;
        for (_, software, is_resumed) in runs {
            resumed += usize::from(is_resumed);
            if !is_resumed {
                began_at = Some(software);
            } else if began_at != Some(software) {
                mixed.push(id.clone());
            }
        }
    }
    (mixed, resumed)
}

/// Guards against texts that targets of two software versions have made: when runs break, when
/// another node takes their job over, and when a later step carries them on.
#[test]
fn texts_go_on_at_the_software_version_that_began_them() {
    let mut cluster = Cluster::start("software", 3, SEED);
    cluster.engines[1].install("v2");
    // Entries are written again in the meantime.
    thread::sleep(Duration::from_secs(1));
    let violations = Violations::default();
    let nodes = cluster.addresses();
    let mut trainer = Trainer::new("t", nodes, cluster.store.clone(), violations.clone());
    for number in 0..4 {
        let mut step = trainer.submit(number, 96);
        thread::sleep(Duration::from_millis(900));
        let node = usize::try_from(number).unwrap() % cluster.nodes.len();
        cluster.nodes[node].restart();
        trainer.finish(&mut step);
        trainer.end(&step);
    }
    let (mixed, resumed) = mixed(cluster.engines.iter());
    assert_eq!(mixed, Vec::<String>::new());
    assert!(resumed > 0, "no run went on");
    assert_eq!(violations.all(), Vec::<String>::new());
}
