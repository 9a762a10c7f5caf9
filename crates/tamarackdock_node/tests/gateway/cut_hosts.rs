//! Nodes that lose their paths to all targets, while callers, the store and other nodes reach them.

use std::{
    thread,
    time::{Duration, Instant},
};

use platform_standin::{
    BREAKING_STREAM, Client, Engine, ProxyMode, SLOW_STREAM, expected_events, expected_stream,
};

use crate::{
    cluster::{CallRecord, Cluster, KEY, StopFlag, Trainer, Violations, call_until},
    limits::{NOTICE as LIMITS_NOTICE, WINDOW, WINDOW_S, bound, busiest_window},
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
pub(crate) fn untrue(cluster: &Cluster, calls: &[CallRecord]) -> Vec<String> {
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
    let cluster = Cluster::start_gated("cut-callers", 4, 0);
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
    // A lost path says nothing about the requests whose connections broke.
    assert_eq!(cluster.log_lines("crash: recorded"), Vec::<String>::new());
    assert_eq!(violations.all(), Vec::<String>::new());
}

/// Guards against a step that stops because the node that owns its job has lost its paths to all
/// targets, before the step or in its middle.
#[test]
fn a_step_goes_on_while_its_owner_is_cut_off() {
    let cluster = Cluster::start_gated("cut-owner", 4, 0);
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
    let cluster = Cluster::start_gated("cut-streams", 3, 0);
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
    let cluster = Cluster::start_gated("cut-holder", 4, 0);
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
    let cluster = Cluster::start_gated("cut-return", 4, 0);
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
    let cluster = Cluster::start_gated("dead-target", 3, 0);
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

/// Guards against targets that go on with a request that another node forwards after its caller
/// has left.
#[test]
fn a_caller_that_leaves_ends_a_forwarded_request() {
    let cluster = Cluster::start_gated("cut-leave", 3, 0);
    thread::sleep(Duration::from_secs(1));
    for mode in MODES {
        cluster.cut(&[0], mode);
        thread::sleep(NOTICE);
        // The first one tells the node that its paths are lost.
        let mut client = Client::new(KEY, Duration::from_secs(2));
        client.call(cluster.addresses()[0], "/app/", &format!("first-{mode:?}"));
        let node = cluster.addresses()[0];
        let mut ids = (0..).map(|number| format!("left-{mode:?}-{number}"));
        let id = ids.find(|id| expected_events(id).len() > 40).unwrap();
        assert!(client.leave_stream(node, SLOW_STREAM, &id), "{mode:?}: no stream has begun");
        thread::sleep(Duration::from_millis(500));
        let running: u32 = cluster.services.iter().map(Engine::running).sum();
        assert_eq!(running, 0, "{mode:?}");
        cluster.cut(&[0], ProxyMode::Open);
        thread::sleep(RETURN);
    }
}

/// Guards against limits of targets that are exceeded, or leave no requests, while the nodes that
/// grant permits have lost their own paths to the targets.
#[test]
fn limits_hold_while_limiters_are_cut_off() {
    const LIMIT: u32 = 5;
    let cluster = Cluster::start_gated("cut-limiters", 4, 0);
    thread::sleep(Duration::from_secs(1));
    let violations = Violations::default();
    for service in &cluster.services {
        service.name_limit(Some(f64::from(LIMIT)));
    }
    for mode in MODES {
        cluster.cut(&CUT_NODES, mode);
        let stop = StopFlag::default();
        let caller = |path: &'static str| {
            let (stop, violations, nodes) = (stop.clone(), violations.clone(), cluster.addresses());
            let name = format!("limited{}{mode:?}", path.replace('/', "-"));
            thread::spawn(move || call_until(&stop, &nodes, KEY, path, &name, &violations))
        };
        let (repeatable, once) = (caller("/app/"), caller("/once/"));
        thread::sleep(LIMITS_NOTICE);
        let from = Instant::now();
        thread::sleep(WINDOW + WINDOW / 2);
        stop.set();
        let until = Instant::now();
        repeatable.join().unwrap();
        let once = once.join().unwrap();
        for service in &cluster.services {
            let most = busiest_window(service, from, until);
            assert!(most <= bound(LIMIT), "{mode:?}: `{}` got {most}", service.id);
            assert!(most >= LIMIT * WINDOW_S / 2, "{mode:?}: `{}` got only {most}", service.id);
        }
        assert_eq!(untrue(&cluster, &once), Vec::<String>::new(), "{mode:?}");
        cluster.cut(&CUT_NODES, ProxyMode::Open);
        thread::sleep(RETURN);
    }
    assert_eq!(violations.all(), Vec::<String>::new());
}

/// Guards against nodes that never ask another one again once none could forward their requests,
/// and against requests that wait or run although no node has a path.
#[test]
fn hosts_find_others_whose_paths_come_back() {
    let cluster = Cluster::start_gated("cut-all", 4, 0);
    thread::sleep(Duration::from_secs(1));
    let violations = Violations::default();
    for mode in MODES {
        let stop = StopFlag::default();
        let callers: Vec<_> = (0..4)
            .map(|number| {
                let (stop, violations) = (stop.clone(), violations.clone());
                let nodes = vec![cluster.addresses()[number % 2]];
                let name = format!("all-{mode:?}-{number}");
                thread::spawn(move || call_until(&stop, &nodes, KEY, "/once/", &name, &violations))
            })
            .collect();
        cluster.cut(&[0, 1, 2, 3], mode);
        thread::sleep(NOTICE);
        let mut client = Client::new(KEY, Duration::from_secs(2));
        let mut call = |name: &str, number: usize| {
            let id = format!("{name}-{mode:?}-{number}");
            client.call(cluster.addresses()[number % 2], "/once/", &id).status()
        };
        // The other nodes find out that their paths are lost.
        for number in 0..4 {
            call("learn", number);
        }
        let began = Instant::now();
        let statuses: Vec<u16> = (0..20).map(|number| call("refused", number)).collect();
        let took = began.elapsed();
        // Connections that are open live on while new ones are refused.
        let is_expected = |status| status == 503 || (mode == ProxyMode::Refusing && status == 200);
        assert!(statuses.iter().all(|status| is_expected(*status)), "{mode:?}: {statuses:?}");
        assert!(took < Duration::from_secs(1), "{mode:?}: refusals took {took:?}");
        cluster.cut(&[2, 3], ProxyMode::Open);
        let from = Instant::now() + RETURN;
        thread::sleep(RETURN + CUT);
        stop.set();
        let calls: Vec<_> = callers.into_iter().flat_map(|it| it.join().unwrap()).collect();
        let (count, failed) = failed(&calls, from, Instant::now());
        assert!(count > 50 && failed * 50 <= count, "{mode:?}: {failed} of {count} failed");
        assert_eq!(untrue(&cluster, &calls), Vec::<String>::new(), "{mode:?}");
        cluster.cut(&[0, 1], ProxyMode::Open);
        thread::sleep(RETURN);
    }
    assert_eq!(cluster.log_lines("crash: recorded"), Vec::<String>::new());
    assert_eq!(violations.all(), Vec::<String>::new());
}

/// Guards against items and streams that a forwarding node cuts after the time that their first
/// event may take, although events go on to come.
#[test]
fn long_texts_are_forwarded_to_their_end() {
    let cluster = Cluster::start_gated("cut-long", 3, 0);
    thread::sleep(Duration::from_secs(1));
    let violations = Violations::default();
    let mut trainer = trainer(&cluster, &violations);
    cluster.engines.iter().for_each(|engine| engine.slow_down(true));
    for (number, cut) in (0..).zip([[0, 1], [1, 2], [2, 0]]) {
        cluster.cut(&cut, ProxyMode::Reset);
        thread::sleep(Duration::from_millis(100));
        let mut step = trainer.submit(number, 8);
        trainer.finish(&mut step);
        trainer.end(&step);
        cluster.cut(&cut, ProxyMode::Open);
        thread::sleep(RETURN);
    }
    let resumed: Vec<_> = cluster.engines.iter().flat_map(Engine::runs).collect();
    let resumed: Vec<&str> =
        resumed.iter().filter(|run| run.resumed).map(|run| run.id.as_str()).collect();
    assert_eq!(resumed, Vec::<&str>::new(), "items that were broken off and went on");
    assert_eq!(violations.all(), Vec::<String>::new());
}
