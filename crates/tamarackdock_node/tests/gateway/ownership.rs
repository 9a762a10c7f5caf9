//! Batch jobs whose owner changes, and reads of their results at a node that has not heard of it.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use platform_standin::{Client, Engine, Node, ProxyMode};
use serde_json::Value;

use crate::cluster::{Cluster, KEY, Step, Trainer, Violations};

const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time in which calls have been sent to a paused node.
const CONNECT_TIME: Duration = Duration::from_millis(50);
/// Time in which a log line that must come has come.
const LOG_BOUND: Duration = Duration::from_secs(20);

pub(crate) fn trainer(cluster: &Cluster, violations: &Violations) -> Trainer {
    Trainer::new("t", cluster.addresses(), cluster.store.clone(), violations.clone())
}

/// Starts three nodes with a changed value in their settings.
pub(crate) fn start(name: &str, section: &str, setting: &str, value: impl Into<Value>) -> Cluster {
    let mut cluster = Cluster::start(name, 3, 0);
    let value = value.into();
    for node in &mut cluster.nodes {
        node.kill();
        node.set(section, setting, value.clone());
    }
    cluster.nodes.iter_mut().for_each(Node::restart);
    cluster.wait_until_served();
    cluster
}

/// Submits a step whose items run slowly, once an earlier step has shown that the nodes know
/// each other.
fn submit_slow(cluster: &Cluster, trainer: &mut Trainer) -> Step {
    let mut first = trainer.submit(0, 4);
    trainer.finish(&mut first);
    slow_down(cluster, true);
    trainer.submit(1, 12)
}

/// Returns the index of the node that owns a job, from the line about its start.
pub(crate) fn owner(cluster: &Cluster, job: &str) -> usize {
    let of_job = format!("\"job\":\"{job}\"");
    let until = Instant::now() + LOG_BOUND;
    loop {
        let starts = |index: usize| cluster.node_lines(index, "\"job: started\"");
        let owners = |index: &usize| starts(*index).iter().any(|line| line.contains(&of_job));
        if let Some(index) = (0..cluster.nodes.len()).find(owners) {
            return index;
        }
        assert!(Instant::now() < until, "`{job}` was not started");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Returns the addresses of all nodes but one.
pub(crate) fn others(cluster: &Cluster, node: usize) -> Vec<SocketAddr> {
    let nodes = cluster.addresses().into_iter().enumerate();
    nodes.filter(|(index, _)| *index != node).map(|(_, address)| address).collect()
}

/// Waits until a log line about a job has one of the texts.
fn wait_for_line(cluster: &Cluster, step: &Step, texts: &[&str]) {
    let of_job = format!("\"job\":\"{}\"", step.job);
    let until = Instant::now() + LOG_BOUND;
    let is_logged = |text: &&str| cluster.log_lines(text).iter().any(|line| line.contains(&of_job));
    while !texts.iter().any(is_logged) {
        assert!(Instant::now() < until, "no log line with {texts:?}");
        thread::sleep(Duration::from_millis(10));
    }
}

pub(crate) fn slow_down(cluster: &Cluster, slow: bool) {
    cluster.engines.iter().for_each(|engine| engine.slow_down(slow));
}

/// Guards against a job that is taken from its owner, whose items begin again, because the owner has
/// just started and its row is not known yet.
#[test]
fn a_job_stays_with_an_owner_that_has_just_started() {
    let cluster = Cluster::start("new-owner", 3, 0);
    slow_down(&cluster, true);
    let violations = Violations::default();
    let mut trainer = trainer(&cluster, &violations);
    let mut step = trainer.submit(0, 12);
    trainer.finish(&mut step);
    let runs = cluster.runs();
    let again: Vec<_> = step.items.iter().filter(|(id, _)| runs.get(id) != Some(&1)).collect();
    assert_eq!(again, Vec::<&(String, String)>::new(), "items that did not run once");
    assert_eq!(violations.all(), Vec::<String>::new());
}

/// Guards against a job that runs although it was ended while its new owner was starting it.
#[test]
fn a_job_that_ends_during_its_take_over_is_not_run() {
    let mut cluster = Cluster::start("end-in-takeover", 3, 0);
    let violations = Violations::default();
    let mut trainer = trainer(&cluster, &violations);
    let step = submit_slow(&cluster, &mut trainer);
    let owner = owner(&cluster, &step.job);
    cluster.store.delay_saved_texts(Duration::from_millis(600));
    cluster.nodes[owner].kill();
    wait_for_line(&cluster, &step, &["\"epoch\":2"]);
    trainer.nodes = others(&cluster, owner);
    trainer.end(&step);
    let ended = Instant::now();
    wait_for_line(&cluster, &step, &["\"job: stopped\"", "\"job: not taken over\""]);
    let is_late =
        |id: &str, at: Instant| at > ended && step.items.iter().any(|(item, _)| item == id);
    let runs = cluster.engines.iter().flat_map(Engine::runs);
    let late: Vec<String> =
        runs.filter(|run| is_late(&run.id, run.started_at)).map(|run| run.id).collect();
    assert_eq!(late, Vec::<String>::new(), "items that ran after the end of their job");
    assert_eq!(violations.all(), Vec::<String>::new());
}

/// Continues a paused node that has calls from each position waiting, and returns the positions
/// that it answers as empty.
fn empty_positions(node: &Node, step: &Step) -> Vec<usize> {
    let is_empty = |after: usize| {
        let page = Client::new(KEY, CLIENT_TIMEOUT).listed_results(node.callers, &step.job, after);
        page.json()["results"].as_array().is_some_and(Vec::is_empty)
    };
    thread::scope(|scope| {
        let reads: Vec<_> =
            (0..step.results.len()).map(|after| scope.spawn(move || is_empty(after))).collect();
        thread::sleep(CONNECT_TIME);
        node.resume();
        let answers = reads.into_iter().map(|read| read.join().expect("a read ends"));
        answers.enumerate().filter(|(_, empty)| *empty).map(|(after, _)| after).collect()
    })
}

/// Pauses the owner of a job until another node has listed all results, and reads at the woken
/// owner while its path to the store has had the given mode since the pause began.
fn check_woken_owner(name: &str, mode: ProxyMode) {
    let cluster = start(name, "bounds", "strict_keys", false);
    let violations = Violations::default();
    let mut trainer = trainer(&cluster, &violations);
    let mut step = submit_slow(&cluster, &mut trainer);
    let owner = owner(&cluster, &step.job);
    trainer.nodes = others(&cluster, owner);
    trainer.read(&mut step, 1, Instant::now() + LOG_BOUND);
    cluster.nodes[owner].pause();
    slow_down(&cluster, false);
    cluster.proxies[owner].set(mode);
    trainer.finish(&mut step);
    let empty = empty_positions(&cluster.nodes[owner], &step);
    assert_eq!(empty, Vec::<usize>::new(), "positions with results that were read as empty");
    cluster.proxies[owner].set(ProxyMode::Open);
    trainer.nodes = cluster.addresses();
    trainer.read_again(&step);
    assert_eq!(violations.all(), Vec::<String>::new());
}

/// Guards against a node that answers, after a pause, from what it knew before.
#[test]
fn a_woken_owner_shows_the_results_of_its_successor() {
    check_woken_owner("woken-owner", ProxyMode::Open);
}

/// Guards against the same while the store does not answer the woken node, which therefore does
/// not hear of its successor.
#[test]
fn a_woken_owner_without_the_store_shows_no_empty_page() {
    check_woken_owner("woken-without-store", ProxyMode::DropAll);
}

/// Guards against results that are never read because their rows don't fit into one answer of
/// the store, and against a new owner that takes them as missing.
#[test]
fn results_of_several_rows_are_read_from_short_answers() {
    let mut cluster = start("short-answers", "limits", "row_bytes", 1024);
    cluster.store.limit_answers(1);
    let violations = Violations::default();
    let mut trainer = trainer(&cluster, &violations);
    let mut step = submit_slow(&cluster, &mut trainer);
    let owner = owner(&cluster, &step.job);
    trainer.read(&mut step, 8, Instant::now() + LOG_BOUND);
    slow_down(&cluster, false);
    cluster.nodes[owner].kill();
    trainer.finish(&mut step);
    trainer.end(&step);
    trainer.read_again(&step);
    assert_eq!(violations.all(), Vec::<String>::new());
}

/// Guards against the body of an accepted item that is answered as missing, because the store gave
/// an answer that can't be read.
#[test]
fn a_body_is_not_missing_while_the_store_fails() {
    let cluster = Cluster::start("body", 3, 0);
    let violations = Violations::default();
    let mut trainer = trainer(&cluster, &violations);
    let step = submit_slow(&cluster, &mut trainer);
    cluster.store.fail_submissions(true);
    let mut client = Client::new(KEY, CLIENT_TIMEOUT);
    let bodies = cluster.addresses().into_iter();
    let bodies = bodies.map(|node| client.item(node, &step.job, &step.items[11].0).status());
    let wrong: Vec<u16> = bodies.filter(|status| !matches!(status, 200 | 503)).collect();
    assert_eq!(wrong, Vec::<u16>::new());
}

/// Guards against jobs that are taken from a sound owner, because a renewal of an earlier run of its
/// host took effect late.
#[test]
fn a_late_renewal_of_an_earlier_run_moves_no_job() {
    let cluster = Cluster::start("late-renewal", 3, 0);
    let violations = Violations::default();
    let mut trainer = trainer(&cluster, &violations);
    let first = submit_slow(&cluster, &mut trainer);
    let jobs: Vec<String> = (2..6).map(|number| trainer.submit(number, 4).job).collect();
    let host = format!("edge-{}", owner(&cluster, &first.job));
    let epochs = || -> Vec<Option<u64>> {
        let heads = jobs.iter().map(|job| cluster.store.job_head(job).expect("the job exists"));
        heads.map(|head| head["epoch"].as_u64()).collect()
    };
    let asked = "owner asked before a take-over";
    let until = Instant::now() + LOG_BOUND;
    // The rows are read, and the owner renews its own one, several times in between.
    while cluster.log_lines(asked).len() < jobs.len() && Instant::now() < until {
        assert_eq!(epochs(), vec![Some(1); jobs.len()], "jobs that were taken over");
        cluster.store.renew_earlier_run(&host);
        thread::sleep(Duration::from_millis(100));
    }
    assert!(Instant::now() < until, "no node asked whether the owner runs its jobs");
    assert_eq!(epochs(), vec![Some(1); jobs.len()], "jobs that were taken over");
}
