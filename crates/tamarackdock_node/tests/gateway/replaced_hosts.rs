//! Rows of hosts that were replaced: they must not delay what hosts do for each other, and are removed.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    cluster::{Cluster, Trainer, Violations},
    ownership::{self, others, owner, slow_down, trainer},
};

/// Hosts that are replaced in three days of the largest deployment, 220 on each.
const REPLACED: u64 = 660;
/// `bounds.keep_results_s` of the nodes. Rows are kept for 10 s more.
const KEEP_S: u64 = 1;
/// Several times the interval of the holder's checks, and the time for which rows are kept.
const REMOVAL_BOUND: Duration = Duration::from_secs(45);
/// Time for another node to take the duties and order the loads of a version: the term of the lease,
/// the delivery time and a load, twice.
const DUTIES_BOUND: Duration = Duration::from_secs(15);

/// Starts three nodes that know each other, beside the rows of replaced hosts.
fn start(name: &str, violations: &Violations) -> (Cluster, Trainer) {
    let cluster = Cluster::start(name, 3, 0);
    let mut trainer = trainer(&cluster, violations);
    let mut first = trainer.submit(0, 4);
    trainer.finish(&mut first);
    cluster.store.add_replaced_hosts("edge-0", REPLACED);
    (cluster, trainer)
}

fn wait_until(what: &str, bound: Duration, mut condition: impl FnMut() -> bool) {
    let until = Instant::now() + bound;
    while !condition() {
        assert!(Instant::now() < until, "not within the bound: {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Guards against jobs that nobody takes over because many hosts were replaced before: with their
/// number the reads of the members became so rare that each one counted as the first after a gap.
#[test]
fn a_job_is_taken_over_after_many_hosts_were_replaced() {
    let violations = Violations::default();
    let (mut cluster, mut trainer) = start("replaced-owner", &violations);
    slow_down(&cluster, true);
    let mut step = trainer.submit(1, 12);
    let owner = owner(&cluster, &step.job);
    // Reads at the longest interval that the rows lead to.
    thread::sleep(Duration::from_secs(3));
    cluster.nodes[owner].kill();
    trainer.nodes = others(&cluster, owner);
    trainer.finish(&mut step);
    assert_eq!(violations.all(), Vec::<String>::new());
}

/// Guards against duties that no host takes for the same reason, as replaced hosts ranked among the
/// candidates.
#[test]
fn the_duties_are_taken_over_after_many_hosts_were_replaced() {
    let violations = Violations::default();
    let (mut cluster, mut trainer) = start("replaced-holder", &violations);
    thread::sleep(Duration::from_secs(3));
    let holder = cluster.store.duty_holder().expect("a node holds the duties");
    let index = holder.strip_prefix("edge-").and_then(|index| index.parse::<usize>().ok()).unwrap();
    cluster.nodes[index].kill();
    trainer.nodes = others(&cluster, index);
    wait_until("another node takes the duties", DUTIES_BOUND, || {
        cluster.store.duty_holder().is_some_and(|other| other != holder)
    });
    // Needs weights that are published now.
    let mut step = trainer.submit(4, 4);
    trainer.finish(&mut step);
    assert_eq!(violations.all(), Vec::<String>::new());
}

/// Guards against rows of replaced hosts that stay for good, and against a host that is missing after
/// a pause in which its row was removed: it writes its row again, and runs no job for a second time.
#[test]
fn rows_of_replaced_hosts_are_removed() {
    let cluster = ownership::start("replaced-removed", "bounds", "keep_results_s", KEEP_S);
    let violations = Violations::default();
    let mut trainer = trainer(&cluster, &violations);
    let mut first = trainer.submit(0, 4);
    trainer.finish(&mut first);
    cluster.store.add_replaced_hosts("edge-0", REPLACED);
    slow_down(&cluster, true);
    let mut step = trainer.submit(1, 12);
    let owner = owner(&cluster, &step.job);
    cluster.nodes[owner].pause();
    slow_down(&cluster, false);
    trainer.nodes = others(&cluster, owner);
    trainer.finish(&mut step);
    let row = format!("member/edge-{owner}");
    let has_row = || cluster.store.rows_with("edge-").contains(&row);
    wait_until("the rows of replaced hosts are removed", REMOVAL_BOUND, || {
        cluster.store.rows_with("gone-").is_empty() && !has_row()
    });
    assert_eq!(
        cluster.store.rows_with("edge-").iter().filter(|row| row.starts_with("member/")).count(),
        2
    );
    cluster.nodes[owner].resume();
    wait_until("the woken host has its row", REMOVAL_BOUND, has_row);
    trainer.nodes = cluster.addresses();
    trainer.read_again(&step);
    let mut last = trainer.submit(2, 12);
    trainer.finish(&mut last);
    assert_eq!(violations.all(), Vec::<String>::new());
}
