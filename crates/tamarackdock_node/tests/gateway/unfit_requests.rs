//! Requests that every target refuses as if it were full, such as items that are larger than the
//! memory of the engines.

use std::{net::SocketAddr, thread, time::Duration};

use platform_standin::{Client, UNFIT_ITEMS, UNFIT_SCORES};

use crate::{
    adaptive,
    cluster::{Cluster, KEY, StopFlag, Trainer, Violations},
};

const UNFIT: usize = 4;
const ITEMS: usize = 24;
/// Time in which each engine has refused an item.
const REFUSAL_TIME: Duration = Duration::from_millis(500);
const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);

/// Checks that steps complete while the items of an earlier one fit no engine, and that those are
/// still owed.
fn assert_steps_complete(cluster: &Cluster) {
    let violations = Violations::default();
    let trainer = |name: &str| {
        Trainer::new(name, cluster.addresses(), cluster.store.clone(), violations.clone())
    };
    let mut unfit_trainer = trainer(UNFIT_ITEMS.trim_end_matches('-'));
    let unfit = unfit_trainer.submit(0, UNFIT);
    thread::sleep(REFUSAL_TIME);
    let mut trainer = trainer("t");
    for number in 1..3 {
        let mut step = trainer.submit(number, ITEMS);
        trainer.finish(&mut step);
    }
    let mut client = Client::new(KEY, CLIENT_TIMEOUT);
    let node = cluster.addresses()[0];
    let listed = client.listed_results(node, &unfit.job, 0).json();
    assert_eq!(listed["results"].as_array().map(Vec::len), Some(0), "{listed}");
    for (item, _) in &unfit.items {
        assert_eq!(client.item(node, &unfit.job, item).status(), 200, "body of `{item}`");
    }
    unfit_trainer.end(&unfit);
    assert_eq!(violations.all(), Vec::<String>::new());
}

/// Guards against items that fit no engine and keep all other items of a node from starting.
#[test]
fn items_that_fit_no_engine_keep_no_others_from_starting() {
    assert_steps_complete(&Cluster::start("unfit-items", 1, 0));
}

/// Guards against the same where the pace of targets is learned.
#[test]
fn items_that_fit_no_engine_keep_no_others_from_starting_at_a_learned_pace() {
    assert_steps_complete(&adaptive::start("unfit-items-adaptive", 1, 0));
}

/// Calls that nobody can run, one after the other from each of some clients.
const UNFIT_CLIENTS: usize = 3;
/// Ordinary calls beside requests that fit no target.
const CALLS: usize = 40;
/// Path of calls to the engines.
const ENGINE_CALLS: &str = "/engine/";

/// Makes calls that every target refuses until the flag is set.
fn call_unfit_until(stop: &StopFlag, node: SocketAddr, path: &str, name: &str) {
    let mut client = Client::new(KEY, CLIENT_TIMEOUT);
    for number in 0.. {
        if stop.is_set() {
            return;
        }
        let status = client.call(node, path, &format!("{UNFIT_ITEMS}{name}-{number}")).status();
        assert_eq!(status, 503, "a call that every target refuses");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Checks that ordinary calls are served, each at its first attempt or the one after a refusal.
fn assert_calls_are_served(cluster: &Cluster, name: &str) {
    let mut client = Client::new(KEY, CLIENT_TIMEOUT);
    let node = cluster.addresses()[0];
    let mut call = |number: usize, attempt: usize| {
        let status = client.call(node, "/app/", &format!("{name}-{number}-{attempt}")).status();
        thread::sleep(Duration::from_millis(10));
        status == 200
    };
    let unserved = (0..CALLS).filter(|number| !call(*number, 0) && !call(*number, 1)).count();
    assert_eq!(unserved, 0, "{name}: unserved of {CALLS} calls");
}

/// Checks that steps complete and calls are served beside items whose scoring calls fit no target.
fn assert_scores_come(cluster: &Cluster) {
    let violations = Violations::default();
    let trainer = |name: &str| {
        Trainer::new(name, cluster.addresses(), cluster.store.clone(), violations.clone())
    };
    let mut unfit_trainer = trainer(UNFIT_SCORES.trim_end_matches('-'));
    let unfit = unfit_trainer.submit(0, ITEMS);
    thread::sleep(2 * REFUSAL_TIME);
    assert_calls_are_served(cluster, "beside-scores");
    let mut trainer = trainer("t");
    for number in 1..3 {
        let mut step = trainer.submit(number, ITEMS);
        trainer.finish(&mut step);
        cluster.check_scores(&step, &violations);
    }
    unfit_trainer.end(&unfit);
    assert_eq!(violations.all(), Vec::<String>::new());
}

/// Guards against scoring calls that fit no target and keep others, and the calls of callers, from
/// being sent.
#[test]
fn scoring_calls_that_fit_no_target_keep_no_others_from_being_sent() {
    assert_scores_come(&Cluster::start("unfit-scores", 1, 0));
}

/// Guards against the same where calls without room are refused at once.
#[test]
fn scoring_calls_that_fit_no_target_cause_no_refusals_of_calls() {
    assert_scores_come(&adaptive::start("unfit-scores-adaptive", 1, 0));
}

/// Checks that steps complete and calls are served beside calls that fit no target of either
/// service.
fn assert_served_beside_unfit_calls(mut cluster: Cluster) {
    cluster.add_route(ENGINE_CALLS, "llm");
    thread::sleep(2 * REFUSAL_TIME);
    let violations = Violations::default();
    let nodes = cluster.addresses();
    let done = StopFlag::default();
    let clients: Vec<_> = (0..2 * UNFIT_CLIENTS)
        .map(|number| {
            let (done, node) = (done.clone(), nodes[0]);
            let path = if number % 2 == 0 { ENGINE_CALLS } else { "/app/" };
            thread::spawn(move || call_unfit_until(&done, node, path, &number.to_string()))
        })
        .collect();
    thread::sleep(REFUSAL_TIME);
    let mut trainer = Trainer::new("t", nodes, cluster.store.clone(), violations.clone());
    for number in 0..2 {
        let mut step = trainer.submit(number, ITEMS);
        trainer.finish(&mut step);
    }
    assert_calls_are_served(&cluster, "beside-calls");
    done.set();
    for client in clients {
        client.join().expect("calls are refused");
    }
    assert_eq!(violations.all(), Vec::<String>::new());
}

/// Guards against calls that fit no target and keep items and other calls from being sent.
#[test]
fn calls_that_fit_no_target_keep_no_others_from_being_sent() {
    assert_served_beside_unfit_calls(Cluster::start("unfit-calls", 1, 0));
}

/// Guards against the same where calls without room are refused at once.
#[test]
fn calls_that_fit_no_target_cause_no_refusals_of_others() {
    assert_served_beside_unfit_calls(adaptive::start("unfit-calls-adaptive", 1, 0));
}
