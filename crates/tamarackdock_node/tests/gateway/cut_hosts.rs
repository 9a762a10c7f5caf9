//! Nodes that lose their paths to all targets, while callers, the store and other nodes reach them.

use std::{
    thread,
    time::{Duration, Instant},
};

use platform_standin::{BREAKING_STREAM, Client, ProxyMode, expected_stream};

use crate::{
    cluster::{CallRecord, Cluster, KEY, StopFlag, Trainer, Violations, call_until},
    software::receive,
};

/// Time from the start of a cut until calls are served as before.
const NOTICE: Duration = Duration::from_secs(1);
/// Time for which a cut lasts after that.
const CUT: Duration = Duration::from_secs(3);
/// Time from the end of a cut until its nodes use their own paths again.
const RETURN: Duration = Duration::from_secs(2);
/// Time in which a step completes while its owner is cut off: several times its longest item.
const STEP_BOUND: Duration = Duration::from_secs(5);
/// Nodes that are cut off, of four.
const CUT_NODES: [usize; 2] = [0, 1];
const MODES: [ProxyMode; 3] = [ProxyMode::Unreachable, ProxyMode::Refusing, ProxyMode::Reset];

fn trainer(cluster: &Cluster, violations: &Violations) -> Trainer {
    Trainer::new("t", cluster.addresses(), cluster.store.clone(), violations.clone())
}

/// Returns the calls that began from `from` to `until` and those of them that failed.
fn failed(calls: &[CallRecord], from: Instant, until: Instant) -> (usize, usize) {
    let counted: Vec<_> = calls.iter().filter(|call| call.at >= from && call.at < until).collect();
    (counted.len(), counted.iter().filter(|call| call.status != 200).count())
}

/// Returns the ids of calls that were refused as not run and did run, or ran twice.
fn untrue(cluster: &Cluster, calls: &[CallRecord]) -> Vec<String> {
    let runs = cluster.runs();
    let is_untrue = |call: &&CallRecord| {
        let runs = runs.get(&call.id).copied().unwrap_or(0);
        runs > 1 || (call.status == 503 && runs > 0)
    };
    calls.iter().filter(is_untrue).map(|call| call.id.clone()).collect()
}

/// Guards against callers that are refused or wait in vain at nodes that have lost their paths to
/// all targets, although other nodes reach them.
#[test]
fn callers_of_cut_hosts_are_served_through_others() {
    let cluster = Cluster::start_gated("cut-callers", 4);
    thread::sleep(Duration::from_secs(1));
    let violations = Violations::default();
    for mode in MODES {
        let stop = StopFlag::default();
        let nodes: Vec<_> = CUT_NODES.iter().map(|node| cluster.addresses()[*node]).collect();
        let caller = |path: &'static str, name: String| {
            let (stop, violations, nodes) = (stop.clone(), violations.clone(), nodes.clone());
            thread::spawn(move || call_until(&stop, &nodes, KEY, path, &name, &violations))
        };
        let repeatable = caller("/app/", format!("app-{mode:?}"));
        let once = caller("/once/", format!("once-{mode:?}"));
        thread::sleep(Duration::from_millis(300));
        cluster.cut(&CUT_NODES, mode);
        let from = Instant::now() + NOTICE;
        let until = from + CUT;
        thread::sleep(NOTICE + CUT + Duration::from_millis(100));
        stop.set();
        let (repeatable, once) = (repeatable.join().unwrap(), once.join().unwrap());
        cluster.cut(&CUT_NODES, ProxyMode::Open);
        thread::sleep(RETURN);
        for calls in [&repeatable, &once] {
            let (count, failed) = failed(calls, from, until);
            assert!(count > 50 && failed * 50 <= count, "{mode:?}: {failed} of {count} failed");
        }
        assert_eq!(untrue(&cluster, &once), Vec::<String>::new(), "{mode:?}");
    }
    assert_eq!(violations.all(), Vec::<String>::new());
}

/// Guards against a step that stops because the node that owns its job has lost its paths to all
/// targets, before the step or in its middle.
#[test]
fn a_step_goes_on_while_its_owner_is_cut_off() {
    let cluster = Cluster::start_gated("cut-owner", 4);
    thread::sleep(Duration::from_secs(1));
    let violations = Violations::default();
    let mut trainer = trainer(&cluster, &violations);
    let mut number = 0;
    for mode in MODES {
        for running in [true, false] {
            for cut in [[0, 1], [1, 2], [2, 3], [3, 0]] {
                let cut_off = || cluster.cut(&cut, mode);
                if !running {
                    cut_off();
                }
                let mut step = trainer.submit(number, 24);
                number += 1;
                if running {
                    thread::sleep(Duration::from_millis(100));
                    cut_off();
                }
                let began = Instant::now();
                trainer.read(&mut step, 24, began + STEP_BOUND);
                let count = step.results.len();
                assert_eq!(count, 24, "{mode:?}, cut off {cut:?}, running {running}");
                trainer.end(&step);
                cluster.cut(&cut, ProxyMode::Open);
                thread::sleep(RETURN);
            }
        }
    }
    assert_eq!(violations.all(), Vec::<String>::new());
}

/// Guards against streams that do not begin at a node without paths to the targets, or do not go
/// on there after the target broke them.
#[test]
fn streams_of_cut_hosts_begin_and_go_on_through_others() {
    let cluster = Cluster::start_gated("cut-streams", 3);
    thread::sleep(Duration::from_secs(1));
    for mode in MODES {
        cluster.cut(&[0, 1], mode);
        for index in 0..6 {
            let id = format!("stream-{mode:?}-{index}");
            let (received, refused) = receive(&cluster, BREAKING_STREAM, &id);
            let received = String::from_utf8_lossy(&received).into_owned();
            let expected = String::from_utf8_lossy(&expected_stream(&id)).into_owned();
            assert_eq!((received, refused), (expected, 0), "{mode:?}");
        }
        cluster.cut(&[0, 1], ProxyMode::Open);
        thread::sleep(RETURN);
    }
}

/// Guards against weights that are not loaded because the holder of the duties has lost its
/// paths to the targets and keeps the duties.
#[test]
fn a_holder_that_is_cut_off_leaves_the_duties_to_others() {
    let cluster = Cluster::start_gated("cut-holder", 4);
    thread::sleep(Duration::from_secs(1));
    let violations = Violations::default();
    let mut trainer = trainer(&cluster, &violations);
    let mut version = 2;
    // Weights are loaded for the models of jobs.
    let mut step = trainer.submit(0, 4);
    trainer.finish(&mut step);
    for mode in MODES {
        for cut in [[0, 1], [2, 3]] {
            cluster.cut(&cut, mode);
            version += 1;
            cluster.store.publish(version);
            let until = Instant::now() + Duration::from_secs(8);
            let is_loaded = || cluster.engines.iter().any(|engine| engine.version() >= version);
            while !is_loaded() && Instant::now() < until {
                thread::sleep(Duration::from_millis(20));
            }
            assert!(is_loaded(), "{mode:?}, cut off {cut:?}: version {version} is not loaded");
            cluster.cut(&cut, ProxyMode::Open);
            thread::sleep(RETURN);
        }
    }
}

/// Guards against nodes that go on to use others after their paths are back, and against ones
/// that open many connections at once then.
#[test]
fn own_paths_are_used_again_after_a_cut() {
    let cluster = Cluster::start_gated("cut-return", 4);
    thread::sleep(Duration::from_secs(1));
    let mut client = Client::new(KEY, Duration::from_secs(1));
    for mode in MODES {
        cluster.cut(&[0], mode);
        let mut call =
            |id: String, path: &str| client.call(cluster.addresses()[0], path, &id).status();
        (0..60).for_each(|index| {
            call(format!("during-{mode:?}-{index}"), "/once/");
            thread::sleep(Duration::from_millis(20));
        });
        cluster.cut(&[0], ProxyMode::Open);
        thread::sleep(RETURN);
        let before = cluster.log_lines("\"path\":\"peer\"").len();
        for index in 0..40 {
            let status = call(format!("after-{mode:?}-{index}"), "/once/");
            assert_eq!(status, 200, "{mode:?}");
        }
        let through_others = cluster.log_lines("\"path\":\"peer\"").len() - before;
        assert!(through_others <= 2, "{mode:?}: {through_others} calls went through others");
    }
}

/// Guards against calls that all take a detour, or fail, because one target is dead for all nodes.
#[test]
fn a_dead_target_sends_no_call_on_a_detour() {
    let cluster = Cluster::start_gated("dead-target", 3);
    thread::sleep(Duration::from_secs(1));
    let mut client = Client::new(KEY, Duration::from_secs(2));
    for mode in MODES {
        cluster.cut_target(cluster.engines.len(), mode);
        let mut served = 0;
        for index in 0..90 {
            let node = cluster.addresses()[index % 3];
            let status = client.call(node, "/once/", &format!("dead-{mode:?}-{index}")).status();
            served += usize::from(status == 200);
            thread::sleep(Duration::from_millis(10));
        }
        // The first call of each node can be on its way to the target when that fails.
        assert!(served >= 84, "{mode:?}: {served} of 90 calls served");
        cluster.cut_target(cluster.engines.len(), ProxyMode::Open);
        thread::sleep(RETURN);
    }
    let through_others = cluster.log_lines("\"path\":\"peer\"");
    assert!(through_others.len() <= 6, "{through_others:?}");
}
