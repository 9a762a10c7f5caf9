//! Batch jobs while nodes know different configurations.

use std::{
    thread,
    time::{Duration, Instant},
};

use platform_standin::{Client, ITEMS, JobsRoute};

use crate::{
    cluster::{Cluster, KEY, Step, Trainer, Violations},
    ownership::{others, owner as owner_of, slow_down},
};

/// Bound on the time until a configuration is in force, several times that of a poll.
const IN_FORCE: Duration = Duration::from_secs(5);
const ITEM_COUNT: usize = 12;
/// More items than the engines have slots.
const MANY_ITEMS: usize = 60;

fn items(job: &str) -> Vec<(String, String)> {
    (0..ITEM_COUNT).map(|item| (format!("{job}-{item}"), "g0".to_owned())).collect()
}

/// Submits jobs at a node until one is answered with `status`, and returns its id.
fn submit_until(cluster: &Cluster, node: usize, status: u16, name: &str) -> String {
    let mut client = Client::new(KEY, Duration::from_secs(1));
    let until = Instant::now() + IN_FORCE;
    for number in 0.. {
        let job = format!("{name}-{number}");
        let address = cluster.addresses()[node];
        if client.submit(address, &job, number, 1, &items(&job)).status() == status {
            return job;
        }
        assert!(Instant::now() < until, "no submission was answered with {status}");
        thread::sleep(Duration::from_millis(10));
    }
    unreachable!("the range has no end")
}

/// Waits until all nodes have logged lines with a text, and returns them.
fn wait_for_lines(cluster: &Cluster, text: &str, count: usize) -> String {
    let until = Instant::now() + IN_FORCE;
    loop {
        let lines = cluster.log_lines(text);
        if lines.len() >= count {
            return lines.concat();
        }
        assert!(Instant::now() < until, "{count} lines with `{text}` were not logged");
        thread::sleep(Duration::from_millis(10));
    }
}

/// Returns the number of the node that owns the jobs of the trainer.
fn owner(cluster: &Cluster) -> usize {
    wait_for_lines(cluster, r#""live":2"#, cluster.nodes.len());
    submit_until(cluster, 0, 202, "first");
    let accepted = wait_for_lines(cluster, r#""msg":"job: accepted""#, 1);
    usize::from(accepted.contains(r#""owner":"edge-1""#))
}

/// Guards against items that are given up because their job's owner does not know its route yet.
#[test]
fn an_owner_with_an_older_configuration_gives_up_no_items() {
    let mut cluster = Cluster::start_gated("older-configuration", 2, 0);
    cluster.store.publish(2);
    // The items run for longer than the interval of the checks whether they are out of time.
    cluster.engines.iter().for_each(|engine| engine.slow_down(true));
    let owner = owner(&cluster);
    let other = 1 - owner;
    cluster.withdraw_jobs();
    submit_until(&cluster, owner, 404, "without-route");
    cluster.stores[owner].hold_orders(true);
    cluster.configure(true);
    let job = submit_until(&cluster, other, 202, "new-route");
    let violations = Violations::default();
    let nodes = vec![cluster.addresses()[other]];
    let mut trainer = Trainer::new("t", nodes, cluster.store.clone(), violations.clone());
    let mut step = Step { items: items(&job), job, results: Vec::new() };
    trainer.finish(&mut step);
    cluster.stores[owner].hold_orders(false);
    assert_eq!(violations.all(), Vec::<String>::new());
}

/// Submits a step of which some items wait for a slot while the configuration changes, lets its
/// owner end if `takes_over`, and returns what is wrong with the results.
fn violations_of_change(
    name: &str,
    takes_over: bool,
    change: impl FnOnce(&mut Cluster),
) -> Vec<String> {
    let mut cluster = Cluster::start(name, 2, 0);
    let violations = Violations::default();
    slow_down(&cluster, true);
    let nodes = cluster.addresses();
    let mut trainer = Trainer::new("t", nodes, cluster.store.clone(), violations.clone());
    let mut step = trainer.submit(0, MANY_ITEMS);
    let owner = owner_of(&cluster, &step.job);
    let seen = cluster.log_lines("orders: configuration received").len();
    change(&mut cluster);
    wait_for_lines(&cluster, "orders: configuration received", seen + cluster.nodes.len());
    if takes_over {
        cluster.nodes[owner].kill();
        trainer.nodes = others(&cluster, owner);
    }
    slow_down(&cluster, false);
    trainer.finish(&mut step);
    cluster.check_runs(&violations);
    violations.all()
}

/// Guards against accepted items that never run because a route for calls that was added later
/// leads to their paths.
#[test]
fn a_route_that_is_added_below_that_of_an_open_job_ends_none_of_its_items() {
    for (name, takes_over) in [("added-route", false), ("added-route-takeover", true)] {
        let violations = violations_of_change(name, takes_over, |cluster| {
            cluster.add_route(ITEMS, "app");
        });
        assert_eq!(violations, Vec::<String>::new(), "{name}");
    }
}

/// Guards against accepted items that are given up at once because their route serves calls now,
/// which has no lifetime of items.
#[test]
fn a_route_that_changes_its_kind_ends_no_items_of_its_open_jobs() {
    let violations = violations_of_change("changed-kind", true, |cluster| {
        cluster.change_jobs(JobsRoute::Calls);
    });
    assert_eq!(violations, Vec::<String>::new());
}
