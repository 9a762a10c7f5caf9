//! Calls and steps from client to target, without faults and under single faults
//! in a known order.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use platform_standin::{
    BREAKING_STREAM, CRASHING_STREAM, Client, Engine, LATE_COPY_PATH, Outcome, ProxyMode,
    SLOW_STREAM, expected_stream,
};

use crate::cluster::{
    Cluster, KEY, KEY_WITHDRAWAL_BOUND, OLD_KEY, StopFlag, Trainer, Violations, call_until,
};

fn trainer(cluster: &Cluster, violations: &Violations) -> Trainer {
    Trainer::new("t", cluster.addresses(), cluster.store.clone(), violations.clone())
}

fn assert_none(violations: &Violations) {
    assert_eq!(violations.all(), Vec::<String>::new());
}

/// Guards against results that are lost, repeated or changed although nothing
/// fails, and against engines that don't load published weights.
#[test]
fn steps_complete_without_faults() {
    let cluster = Cluster::start("no-faults", 3, 0);
    let violations = Violations::default();
    let mut trainer = trainer(&cluster, &violations);
    for number in 0..3 {
        let mut step = trainer.submit(number, 12);
        trainer.finish(&mut step);
        trainer.end(&step);
        trainer.read_again(&step);
        cluster.check_scores(&step, &violations);
    }
    cluster.check_runs(&violations);
    assert_none(&violations);
    let newest = cluster.engines.iter().map(platform_standin::Engine::version).max();
    assert!(newest >= Some(2), "no engine has loaded a published version");
}

/// Guards against a node that runs a job twice and mixes the saved text of both
/// runs, since the feed shows a job before the response to its submission arrives.
#[test]
fn job_runs_once_if_the_store_responds_late() {
    let cluster = Cluster::start("late", 1, 0);
    cluster.store.delay_answers(Duration::from_millis(150));
    let violations = Violations::default();
    let mut trainer = trainer(&cluster, &violations);
    let mut step = trainer.submit(0, 12);
    trainer.finish(&mut step);
    let runs = cluster.runs();
    let wrong: Vec<_> = step.items.iter().filter(|(id, _)| runs.get(id) != Some(&1)).collect();
    assert_eq!(wrong, Vec::<&(String, String)>::new(), "items that did not run once");
    cluster.check_scores(&step, &violations);
    assert_none(&violations);
}

/// Guards against calls that run, or get another status, although their key, route,
/// job or job id is not valid.
#[test]
fn calls_that_are_not_allowed_are_refused() {
    let cluster = Cluster::start("refused", 1, 0);
    let node = cluster.addresses()[0];
    let mut client = Client::new(KEY, Duration::from_secs(1));
    let mut stranger = Client::new("no key", Duration::from_secs(1));
    let statuses = [
        client.call(node, "/none/", "x1").status(),
        stranger.call(node, "/app/", "x2").status(),
        client.results(node, "never", 0).status(),
        stranger.results(node, "never", 0).status(),
        client.submit(node, "bad id!", 0, 0, &[]).status(),
        client.end(node, "never").status(),
    ];
    assert_eq!(statuses, [404, 401, 404, 401, 400, 404]);
    let runs = cluster.runs();
    assert!(!runs.contains_key("x1") && !runs.contains_key("x2"), "{runs:?}");
}

/// Guards against a submission that is refused although a retry of its write on
/// another connection would succeed: the store resets connections on writes and
/// serves reads.
#[test]
fn submission_is_retried_after_its_write_is_cut() {
    let cluster = Cluster::start("cuts", 1, 0);
    cluster.store.drop_job_writes(3);
    let mut client = Client::new(KEY, Duration::from_secs(3));
    let items = [("cuts-1".to_owned(), "g".to_owned())];
    let outcome = client.submit(cluster.addresses()[0], "cuts", 0, 0, &items);
    assert_eq!(outcome.status(), 202);
}

/// Checks that a request which has crashed three targets is refused by both nodes, and runs no
/// more. `send` sends it to a node under an id and returns the status.
fn check_crashing(name: &str, send: impl Fn(&mut Client, SocketAddr, &str) -> u16) {
    let cluster = Cluster::start(name, 2, 0);
    let mut client = Client::new(KEY, Duration::from_secs(1));
    let nodes = cluster.addresses();
    let mut crash = |call: usize| send(&mut client, nodes[call % 2], &format!("crash-{call}"));
    let first: Vec<u16> = (0..2).map(&mut crash).collect();
    thread::sleep(Duration::from_secs(3));
    let before = cluster.runs().values().sum::<usize>();
    let later: Vec<u16> = (2..6).map(&mut crash).collect();
    assert_eq!((first, later), (vec![502, 502], vec![503; 4]));
    assert_eq!(cluster.runs().values().sum::<usize>(), before, "the request ran again");
    assert_eq!(client.call(nodes[0], "/app/other", "other").status(), 200);
}

/// Guards against a request that crashes one target after the other because it is
/// sent to different nodes: nodes share the crashes that they have seen.
#[test]
fn a_request_that_crashes_targets_is_refused_by_all_nodes() {
    check_crashing("crash", |client, node, id| client.call(node, "/app/crash", id).status());
}

/// Guards against the same with a stream: each of its attempts crashes a target, for as long as
/// its caller repeats it.
#[test]
fn a_stream_that_crashes_targets_is_refused_by_all_nodes() {
    check_crashing("crash-stream", |client, node, id| {
        client.stream(node, CRASHING_STREAM, id, None).status
    });
}

/// Guards against a sound request that is refused because its connections break now and then: a
/// target that answers it shows that it crashes none.
#[test]
fn a_request_that_is_answered_is_no_longer_suspected() {
    let cluster = Cluster::start("acquitted", 1, 0);
    let node = cluster.addresses()[0];
    let mut client = Client::new(KEY, Duration::from_secs(1));
    let mut call = |id: String| client.call(node, "/app/sound", &id).status();
    // Nodes read the crashes of all nodes about once a second.
    let until_read = Duration::from_millis(1500);
    for crash in 0..3 {
        // The third attempt is answered.
        cluster.services[..2].iter().for_each(|service| service.break_next(1));
        assert_eq!(call(format!("broken-{crash}")), 200);
        cluster.services[..2].iter().for_each(|service| service.break_next(0));
        thread::sleep(until_read);
        assert_eq!(call(format!("sound-{crash}")), 200);
        thread::sleep(until_read);
    }
    let crashes = cluster.log_lines("crash: recorded").len();
    assert!(crashes >= 3, "only {crashes} crashes");
}

/// Guards against streams that crash their targets after their first events, and against sound
/// streams being refused because their connections broke.
#[test]
fn a_stream_whose_targets_are_gone_is_refused() {
    let cluster = Cluster::start_gated("crash-late", 2, 0);
    let client = || Client::new(KEY, Duration::from_secs(2));
    let nodes = cluster.addresses();
    let broken = client().stream(nodes[0], BREAKING_STREAM, "sound", None);
    assert_eq!(broken.status, 200);
    let engines = cluster.engines.len();
    for round in 0..3 {
        let id = format!("late-{round}");
        let caller = {
            let (mut client, node, id) = (client(), nodes[round % 2], id.clone());
            thread::spawn(move || client.stream(node, SLOW_STREAM, &id, None))
        };
        // The first events have come by then.
        thread::sleep(Duration::from_millis(600));
        let runs_it = |service: &&Engine| service.runs().iter().any(|run| run.id == id);
        let mut crashed = Vec::new();
        while let Some(index) = cluster
            .services
            .iter()
            .position(|service| runs_it(&service) && !crashed.contains(&service.id))
        {
            crashed.push(cluster.services[index].id.clone());
            cluster.cut_target(engines + index, ProxyMode::Reset);
            thread::sleep(Duration::from_millis(400));
        }
        assert!(!crashed.is_empty());
        caller.join().unwrap();
        for target in engines..engines + cluster.services.len() {
            cluster.cut_target(target, ProxyMode::Open);
        }
        if crashed.len() >= 3 {
            break;
        }
    }
    thread::sleep(Duration::from_secs(3));
    assert_eq!(client().stream(nodes[1], SLOW_STREAM, "late-again", None).status, 503);
    assert_eq!(client().stream(nodes[0], BREAKING_STREAM, "sound-again", None).status, 200);
}

/// Guards against a refusal that wrongly says that a call did not run: one target
/// started the stream and broke the connection, and the next ones refused it.
#[test]
fn broken_stream_is_not_refused_as_not_run() {
    let cluster = Cluster::start("stream", 1, 0);
    let mut client = Client::new(KEY, Duration::from_secs(1));
    let status = client.call(cluster.addresses()[0], "/stream/", "broken").status();
    assert_eq!((status, cluster.runs().get("broken")), (502, Some(&1)));
}

/// Guards against a stream that ends, or repeats or loses events, when its target
/// breaks the connection in the middle of an event.
#[test]
fn stream_resumes_at_another_target() {
    let cluster = Cluster::start("resumed", 1, 0);
    let mut client = Client::new(KEY, Duration::from_secs(1));
    let outcome = client.call(cluster.addresses()[0], "/stream/resumed", "s4");
    let runs = cluster.runs().get("s4").copied();
    let Outcome::Answer { status, body, .. } = outcome else { panic!("{outcome:?}, {runs:?}") };
    assert_eq!((status, runs), (200, Some(2)));
    assert_eq!(String::from_utf8(body), String::from_utf8(expected_stream("s4")));
}

/// Guards against calls that are sent to a data centre that was taken out, and
/// against a data centre that gets no calls after it was taken in again.
#[test]
fn a_data_centre_that_was_taken_out_gets_no_calls() {
    let cluster = Cluster::start("evacuated", 2, 0);
    let south = Engine::start("app-south", "app", "south", 0);
    south.keep_registered(&cluster.store);
    let (violations, stop) = (Violations::default(), StopFlag::default());
    let caller = {
        let (stop, violations, nodes) = (stop.clone(), violations.clone(), cluster.addresses());
        thread::spawn(move || call_until(&stop, &nodes, KEY, "/app/", "app", &violations))
    };
    let in_north = || cluster.services.iter().map(|service| service.runs().len()).sum::<usize>();
    thread::sleep(Duration::from_millis(500));
    cluster.store.evacuate("north", true);
    thread::sleep(Duration::from_secs(1));
    let (north_before, south_before) = (in_north(), south.runs().len());
    thread::sleep(Duration::from_secs(1));
    assert_eq!(in_north(), north_before, "calls went to the data centre");
    assert!(south.runs().len() > south_before, "no calls went to the other data centre");
    cluster.store.evacuate("north", false);
    thread::sleep(Duration::from_secs(2));
    assert!(in_north() > north_before, "the data centre is not used again");
    stop.set();
    let failed = caller.join().unwrap().iter().filter(|call| call.status != 200).count();
    assert_eq!(failed, 0);
    assert_none(&violations);
}

/// Guards against an accepted job that is lost when all nodes are killed right
/// after its acceptance.
#[test]
fn a_job_survives_the_loss_of_all_nodes() {
    let mut cluster = Cluster::start("loss", 3, 0);
    let violations = Violations::default();
    let mut trainer = trainer(&cluster, &violations);
    let mut step = trainer.submit(0, 12);
    cluster.nodes.iter_mut().for_each(platform_standin::Node::kill);
    cluster.nodes.iter_mut().for_each(platform_standin::Node::restart);
    trainer.finish(&mut step);
    trainer.end(&step);
    trainer.read_again(&step);
    assert_none(&violations);
}

/// Guards against a step that stalls while the node that runs it can't reach the
/// store: the step continues through another node, without a takeover.
#[test]
fn step_continues_while_single_nodes_lose_the_store() {
    let cluster = Cluster::start("relay", 3, 0);
    let violations = Violations::default();
    let mut trainer = trainer(&cluster, &violations);
    for (number, mode) in
        [(0, ProxyMode::Closed), (1, ProxyMode::DropAll), (2, ProxyMode::DropAnswers)]
    {
        for lost in 0..3 {
            cluster.proxies[lost].set(mode);
            let mut step = trainer.submit(number * 3 + lost as u64, 8);
            trainer.finish(&mut step);
            cluster.proxies[lost].set(ProxyMode::Open);
            trainer.end(&step);
        }
    }
    assert_none(&violations);
}

/// Guards against the items of a job being aborted at once, because the node that accepted it
/// started without a path of its own to the store and did not know the store's time.
#[test]
fn a_node_that_starts_without_the_store_accepts_jobs_that_run() {
    let mut cluster = Cluster::start("start-relayed", 3, 0);
    cluster.nodes[0].kill();
    cluster.proxies[0].set(ProxyMode::Closed);
    cluster.nodes[0].restart();
    cluster.wait_until_served();
    let violations = Violations::default();
    let mut trainer = trainer(&cluster, &violations);
    trainer.nodes.truncate(1);
    let mut step = trainer.submit(0, 12);
    trainer.nodes = cluster.addresses();
    trainer.finish(&mut step);
    trainer.end(&step);
    trainer.read_again(&step);
    assert_none(&violations);
}

/// Guards against a withdrawn key that keeps working on nodes that can't learn of
/// the withdrawal, since they have lost the store.
#[test]
fn withdrawn_key_expires_on_nodes_without_the_store() {
    let mut cluster = Cluster::start("keys", 2, 0);
    let (violations, stop) = (Violations::default(), StopFlag::default());
    let nodes = cluster.addresses();
    let caller = {
        let (stop, violations) = (stop.clone(), violations.clone());
        thread::spawn(move || call_until(&stop, &nodes, OLD_KEY, "/app/", "old", &violations))
    };
    thread::sleep(Duration::from_millis(300));
    cluster.proxies.iter().for_each(|proxy| proxy.set(ProxyMode::DropAll));
    cluster.configure(false);
    let withdrawn = Instant::now();
    thread::sleep(KEY_WITHDRAWAL_BOUND + Duration::from_secs(1));
    stop.set();
    let calls = caller.join().unwrap();
    let runs = cluster.runs();
    let late: Vec<&str> = calls
        .iter()
        .filter(|call| call.at > withdrawn + KEY_WITHDRAWAL_BOUND && runs.contains_key(&call.id))
        .map(|call| call.id.as_str())
        .collect();
    assert_eq!(late, Vec::<&str>::new());
    assert!(calls.iter().any(|call| call.status == 200), "no call was served before");
    assert_none(&violations);
}

/// Guards against a planned stop that interrupts calls, loses a step or takes too
/// long.
#[test]
fn a_planned_stop_cuts_no_call() {
    let mut cluster = Cluster::start("stop", 3, 0);
    let (violations, stop) = (Violations::default(), StopFlag::default());
    // The balancer sends no new connections to a node that is about to stop.
    let staying = cluster.addresses()[1..].to_vec();
    let leaving = vec![cluster.addresses()[0]];
    let caller = |nodes: Vec<_>, name: &'static str| {
        let (stop, violations) = (stop.clone(), violations.clone());
        thread::spawn(move || call_until(&stop, &nodes, KEY, "/once/", name, &violations))
    };
    let at_leaving = StopFlag::default();
    let first = {
        let (stop, violations) = (at_leaving.clone(), violations.clone());
        thread::spawn(move || call_until(&stop, &leaving, KEY, "/once/", "leaving", &violations))
    };
    let others = caller(staying, "staying");
    let mut trainer = trainer(&cluster, &violations);
    let mut job = trainer.submit(0, 12);
    cluster.nodes[0].terminate();
    thread::sleep(Duration::from_millis(1500));
    at_leaving.set();
    let calls = first.join().unwrap();
    assert!(cluster.nodes[0].wait(Duration::from_secs(6)).unwrap(), "the stop was not orderly");
    trainer.finish(&mut job);
    stop.set();
    let failed = |calls: &[crate::cluster::CallRecord]| {
        calls.iter().filter(|call| call.status != 200).count()
    };
    assert_eq!((failed(&calls), failed(&others.join().unwrap())), (0, 0));
    assert_none(&violations);
}

/// Guards against requests to a target after it has said in an answer that it leaves: its entry
/// in the store can still say that it is ready.
#[test]
fn a_target_that_leaves_by_its_answers_gets_no_more_requests() {
    let cluster = Cluster::start("leaving", 1, 0);
    let violations = Violations::default();
    let (service, engine) = (&cluster.services[0], &cluster.engines[0]);
    service.leave();
    engine.leave();
    let mut client = Client::new(KEY, Duration::from_secs(1));
    let node = cluster.addresses()[0];
    let mut call = |id: String| assert_eq!(client.call(node, "/app/", &id).status(), 200);
    let mut trainer = trainer(&cluster, &violations);
    let learn = |name: &str, call: &mut dyn FnMut(String), trainer: &mut Trainer, number| {
        (0..40).for_each(|index| call(format!("{name}-{index}")));
        let mut step = trainer.submit(number, 24);
        trainer.finish(&mut step);
        (service.runs().len(), engine.runs().len())
    };
    let first = learn("first", &mut call, &mut trainer, 0);
    assert!(first.0 > 0 && first.1 > 0, "both targets must be used once: {first:?}");
    // Entries are written again in the meantime.
    thread::sleep(Duration::from_secs(1));
    assert_eq!(learn("later", &mut call, &mut trainer, 1), first);
    assert_none(&violations);
}

/// Guards against a connection to each target from each node, although a few calls a second
/// are spread over all nodes.
#[test]
fn calls_of_all_nodes_share_connections() {
    let cluster = Cluster::start("shared-connections", 6, 0);
    // By then, all nodes know each other and the connections of their start have expired.
    thread::sleep(Duration::from_secs(10));
    let connections =
        || cluster.services.iter().map(platform_standin::Engine::call_connections).sum::<usize>();
    let before = connections();
    let mut client = Client::new(KEY, Duration::from_secs(1));
    for (index, node) in cluster.addresses().into_iter().cycle().take(60).enumerate() {
        let status = client.call(node, "/app/", &format!("shared-{index}")).status();
        assert_eq!(status, 200);
    }
    let opened = connections() - before;
    assert!(opened <= 2, "{opened} connections were opened");
}

/// Guards against calls that wait for a paused node that forwards calls, and against calls that
/// it sends on after its pause.
#[test]
fn calls_do_not_wait_for_a_paused_node() {
    let cluster = Cluster::start("paused-forwarder", 4, 0);
    thread::sleep(Duration::from_secs(2));
    let nodes = cluster.addresses();
    for paused in 0..nodes.len() {
        cluster.nodes[paused].pause();
        for index in 0..8 {
            let node = nodes[(paused + 1 + index % 3) % nodes.len()];
            let began = Instant::now();
            let id = format!("paused-{paused}-{index}");
            let status = Client::new(KEY, Duration::from_secs(1)).call(node, "/app/", &id).status();
            let took = began.elapsed();
            assert!(status == 200 && took < Duration::from_millis(600), "{status} after {took:?}");
        }
        thread::sleep(Duration::from_millis(600));
        cluster.nodes[paused].resume();
        thread::sleep(Duration::from_secs(2));
    }
    let runs = cluster.runs();
    let repeated: Vec<_> =
        runs.iter().filter(|(id, count)| id.starts_with("paused-") && **count > 1).collect();
    assert_eq!(repeated, Vec::<(&String, &usize)>::new());
}

/// Guards against nodes that take a job over, and start its running items again, because the
/// store was slow to take the renewals of its owner.
#[test]
fn a_job_stays_with_an_owner_that_only_seems_gone() {
    let cluster = Cluster::start("silent-owner", 4, 0);
    thread::sleep(Duration::from_secs(1));
    let violations = Violations::default();
    let mut trainer = trainer(&cluster, &violations);
    let mut step = trainer.submit(0, 700);
    cluster.store.hold_renewals(true);
    trainer.finish(&mut step);
    assert_eq!(cluster.log_lines("job: taken over"), Vec::<String>::new());
    // A run that the owner moves to a faster target continues the text and is no new begin.
    let begun: Vec<String> = cluster
        .engines
        .iter()
        .flat_map(Engine::runs)
        .filter(|run| !run.resumed)
        .map(|run| run.id)
        .collect();
    let again: Vec<_> = step
        .items
        .iter()
        .filter(|(id, _)| begun.iter().filter(|begun| *begun == id).count() != 1)
        .collect();
    assert_eq!(again, Vec::<&(String, String)>::new(), "items that did not begin once");
    assert_none(&violations);
}

/// Guards against a caller that gets the second, late copy of an earlier caller's answer,
/// because it arrives when the connection is in use again.
#[test]
fn a_late_copy_of_an_answer_reaches_no_other_caller() {
    let cluster = Cluster::start("late-copy", 1, 0);
    let node = cluster.addresses()[0];
    let mut client = Client::new(KEY, Duration::from_secs(1));
    let paths = [LATE_COPY_PATH, "/app/", "/app/"].into_iter().cycle().take(36);
    for (index, path) in paths.enumerate() {
        let id = format!("copy-{index}");
        let outcome = client.call(node, path, &id);
        let expected = Outcome::Answer {
            status: 200,
            id: Some(id.clone()),
            body: format!("answer to {id}").into_bytes(),
        };
        assert_eq!(outcome, expected);
    }
}
