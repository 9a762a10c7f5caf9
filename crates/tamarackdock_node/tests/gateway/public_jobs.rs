//! Who may use a batch job while its route becomes public, stops being so, or accounts go.

use std::time::{Duration, Instant};

use platform_standin::{Client, JobsRoute, OTHER_KEY};

use crate::cluster::{Cluster, KEY};

const ITEMS: usize = 4;
const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);
/// Bound on the time until a configuration is in force, several times that of a poll.
const IN_FORCE: Duration = Duration::from_secs(5);
/// Time in which all items of a job are complete.
const STEP_TIME: Duration = Duration::from_secs(10);
/// Key that no configuration has.
const UNKNOWN_KEY: &str = "key-unknown";

fn client(key: &str) -> Client {
    Client::new(key, CLIENT_TIMEOUT)
}

fn items(job: &str) -> Vec<(String, String)> {
    (0..ITEMS).map(|item| (format!("{job}-{item}"), "g0".to_owned())).collect()
}

fn submit(cluster: &Cluster, key: &str, job: &str) -> u16 {
    client(key).submit(cluster.addresses()[0], job, 0, 1, &items(job)).status()
}

/// Changes the configuration and waits until all nodes have received it.
fn change(cluster: &mut Cluster, change: impl FnOnce(&mut Cluster)) {
    let received = |cluster: &Cluster| cluster.log_lines("orders: configuration received").len();
    let wanted = received(cluster) + cluster.nodes.len();
    change(cluster);
    let until = Instant::now() + IN_FORCE;
    while received(cluster) < wanted {
        assert!(Instant::now() < until, "a node has not received the configuration");
    }
}

fn publish_route(cluster: &mut Cluster, public: bool) {
    change(cluster, |cluster| cluster.change_jobs(JobsRoute::Jobs { public }));
}

/// Checks that a job can be read whole with a key at each node, that it is known to its submitter,
/// and that it can be ended.
fn assert_usable(cluster: &Cluster, key: &str, job: &str) {
    for node in cluster.addresses() {
        let until = Instant::now() + STEP_TIME;
        loop {
            let page = client(key).results(node, job, 0);
            assert_eq!(page.status(), 200, "read of `{job}` with `{key}`");
            if page.json()["results"].as_array().is_some_and(|results| results.len() == ITEMS) {
                break;
            }
            assert!(Instant::now() < until, "`{job}` is not complete");
        }
        let body = client(key).item(node, job, "none").status();
        assert_eq!(body, 404, "an item that `{job}` does not have");
    }
    assert_eq!(submit(cluster, key, job), 202, "`{job}` submitted again");
    assert_eq!(client(key).end(cluster.addresses()[0], job).status(), 200, "end of `{job}`");
}

fn assert_closed(cluster: &Cluster, key: &str, job: &str, status: u16) {
    for node in cluster.addresses() {
        let read = client(key).results(node, job, 0).status();
        let end = client(key).end(node, job).status();
        assert_eq!((read, end), (status, status), "`{job}` with `{key}`");
    }
}

/// Guards against accepted jobs whose results nobody can read, since the account of their
/// submission is not that of later calls, and against jobs that another account can read.
#[test]
fn jobs_stay_with_their_account_while_their_route_changes() {
    let mut cluster = Cluster::start("public-jobs", 2, 0);
    assert_eq!(submit(&cluster, KEY, "before"), 202);
    publish_route(&mut cluster, true);
    assert_eq!(submit(&cluster, KEY, "public"), 202);
    assert_eq!(submit(&cluster, UNKNOWN_KEY, "open"), 202);
    for job in ["before", "public"] {
        assert_closed(&cluster, OTHER_KEY, job, 404);
        assert_closed(&cluster, UNKNOWN_KEY, job, 401);
    }
    assert_usable(&cluster, KEY, "before");
    assert_eq!(submit(&cluster, KEY, "after"), 202);
    publish_route(&mut cluster, false);
    for job in ["public", "after", "open"] {
        assert_usable(&cluster, KEY, job);
    }
    assert_closed(&cluster, OTHER_KEY, "after", 404);
    assert_closed(&cluster, UNKNOWN_KEY, "after", 401);
}

/// Guards against the same when the client accounts go, and when they come back.
#[test]
fn jobs_can_be_read_while_there_are_no_accounts() {
    let mut cluster = Cluster::start("no-accounts", 2, 0);
    assert_eq!(submit(&cluster, KEY, "keyed"), 202);
    change(&mut cluster, Cluster::remove_accounts);
    assert_usable(&cluster, KEY, "keyed");
    assert_eq!(submit(&cluster, KEY, "keyless"), 202);
    change(&mut cluster, |cluster| cluster.configure(false));
    assert_usable(&cluster, KEY, "keyless");
    assert_usable(&cluster, KEY, "keyed");
    assert_closed(&cluster, OTHER_KEY, "keyed", 404);
}
