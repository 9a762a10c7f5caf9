//! The whole path without faults, and single faults in a known order.

use std::{
    thread,
    time::{Duration, Instant},
};

use platform_standin::{Client, Engine, Outcome, Way, stream_of};

use crate::world::{Faults, KEY, OLD_KEY, Stop, Trainer, WITHDRAWN_KEY, World, call_until};

fn trainer(world: &World, faults: &Faults) -> Trainer {
    Trainer::new("t", world.addresses(), world.store.clone(), faults.clone())
}

fn assert_none(faults: &Faults) {
    assert_eq!(faults.all(), Vec::<String>::new());
}

#[test]
fn a_calm_day_is_served() {
    let world = World::start("calm", 3, 0);
    let faults = Faults::default();
    let mut trainer = trainer(&world, &faults);
    for number in 0..3 {
        let mut step = trainer.submit(number, 12);
        trainer.finish(&mut step);
        trainer.end(&step);
        trainer.read_again(&step);
    }
    world.check_runs(&faults);
    assert_none(&faults);
    let newest = world.engines.iter().map(platform_standin::Engine::version).max();
    assert!(newest >= Some(2), "no engine has loaded a published version");
}

/// Guards against two copies of a job at its node, whose saved text would mix:
/// the feed shows a job before the answer to its submission arrives.
#[test]
fn a_job_runs_once_where_the_answer_of_the_store_is_late() {
    let world = World::start("late", 1, 0);
    world.store.delay_answers(Duration::from_millis(150));
    let faults = Faults::default();
    let mut trainer = trainer(&world, &faults);
    let mut step = trainer.submit(0, 12);
    trainer.finish(&mut step);
    let runs = world.runs();
    let again: Vec<_> = step.items.iter().filter(|(id, _)| runs.get(id) != Some(&1)).collect();
    assert_eq!(again, Vec::<&(String, String)>::new(), "items that did not run once");
    assert_none(&faults);
}

#[test]
fn calls_that_are_not_allowed_are_refused() {
    let world = World::start("refused", 1, 0);
    let node = world.addresses()[0];
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
    let runs = world.runs();
    assert!(!runs.contains_key("x1") && !runs.contains_key("x2"), "{runs:?}");
}

/// Guards against a trainer that is sent away for a write that one more try on
/// another connection could have made: the store resets writes and serves reads.
#[test]
fn a_submission_is_tried_again_when_its_write_is_cut() {
    let world = World::start("cuts", 1, 0);
    world.store.cut_job_writes(3);
    let mut client = Client::new(KEY, Duration::from_secs(3));
    let items = [("cuts-1".to_owned(), "g".to_owned())];
    let outcome = client.submit(world.addresses()[0], "cuts", 0, 0, &items);
    assert_eq!(outcome.status(), 202);
}

/// Guards against a request that takes down one target after the other by way
/// of different nodes: what one node learns reaches the others.
#[test]
fn a_request_that_crashes_targets_is_refused_by_all_nodes() {
    let world = World::start("crash", 2, 0);
    let mut client = Client::new(KEY, Duration::from_secs(1));
    let nodes = world.addresses();
    let crash = |client: &mut Client, call: usize| {
        client.call(nodes[call % 2], "/app/crash", &format!("crash-{call}")).status()
    };
    let first: Vec<u16> = (0..2).map(|call| crash(&mut client, call)).collect();
    thread::sleep(Duration::from_secs(3));
    let before = world.runs().values().sum::<usize>();
    let later: Vec<u16> = (2..6).map(|call| crash(&mut client, call)).collect();
    assert_eq!((first, later), (vec![502, 502], vec![503; 4]));
    assert_eq!(world.runs().values().sum::<usize>(), before, "the request ran again");
    assert_eq!(client.call(nodes[0], "/app/other", "other").status(), 200);
}

/// Guards against an untrue refusal: a stream that one target began to run and
/// broke, and that the next ones refused, may have run.
#[test]
fn a_stream_that_broke_is_not_refused_as_not_run() {
    let world = World::start("stream", 1, 0);
    let mut client = Client::new(KEY, Duration::from_secs(1));
    let status = client.call(world.addresses()[0], "/stream/", "broken").status();
    assert_eq!((status, world.runs().get("broken")), (502, Some(&1)));
}

/// Guards against a stream that ends, repeats or loses events for its caller when
/// its target breaks off in the middle of one.
#[test]
fn a_stream_goes_on_at_another_target() {
    let world = World::start("resumed", 1, 0);
    let mut client = Client::new(KEY, Duration::from_secs(1));
    let outcome = client.call(world.addresses()[0], "/stream/resumed", "s4");
    let runs = world.runs().get("s4").copied();
    let Outcome::Answer { status, body, .. } = outcome else { panic!("{outcome:?}, {runs:?}") };
    assert_eq!((status, runs), (200, Some(2)));
    assert_eq!(String::from_utf8(body), String::from_utf8(stream_of("s4")));
}

/// Guards against calls that go to a data centre which was taken out, and against
/// one that is not used again.
#[test]
fn a_data_centre_that_was_taken_out_gets_no_calls() {
    let world = World::start("evacuated", 2, 0);
    let south = Engine::start("app-south", "app", "south", 0);
    south.keep_registered(&world.store);
    let (faults, stop) = (Faults::default(), Stop::default());
    let caller = {
        let (stop, faults, nodes) = (stop.clone(), faults.clone(), world.addresses());
        thread::spawn(move || call_until(&stop, &nodes, KEY, "/app/", "app", &faults))
    };
    let in_north = || world.services.iter().map(|service| service.runs().len()).sum::<usize>();
    thread::sleep(Duration::from_millis(500));
    world.store.evacuate("north", true);
    thread::sleep(Duration::from_secs(1));
    let (north_before, south_before) = (in_north(), south.runs().len());
    thread::sleep(Duration::from_secs(1));
    assert_eq!(in_north(), north_before, "calls went to the data centre");
    assert!(south.runs().len() > south_before, "no calls went to the other data centre");
    world.store.evacuate("north", false);
    thread::sleep(Duration::from_secs(2));
    assert!(in_north() > north_before, "the data centre is not used again");
    stop.raise();
    let failed = caller.join().unwrap().iter().filter(|call| call.status != 200).count();
    assert_eq!(failed, 0);
    assert_none(&faults);
}

/// Guards against an acknowledged job that dies with the machines: all nodes are
/// killed right after the acceptance.
#[test]
fn a_job_survives_the_loss_of_all_nodes() {
    let mut world = World::start("loss", 3, 0);
    let faults = Faults::default();
    let mut trainer = trainer(&world, &faults);
    let mut step = trainer.submit(0, 12);
    world.nodes.iter_mut().for_each(platform_standin::Node::kill);
    world.nodes.iter_mut().for_each(platform_standin::Node::restart);
    trainer.finish(&mut step);
    trainer.end(&step);
    trainer.read_again(&step);
    assert_none(&faults);
}

/// Guards against a step that stalls while the node that runs it can't reach the
/// store: it goes on by way of another node, without a take-over.
#[test]
fn a_step_goes_on_while_single_nodes_lose_the_store() {
    let world = World::start("relay", 3, 0);
    let faults = Faults::default();
    let mut trainer = trainer(&world, &faults);
    for (number, way) in [(0, Way::Closed), (1, Way::Silent), (2, Way::OneWay)] {
        for lost in 0..3 {
            world.proxies[lost].set(way);
            let mut step = trainer.submit(number * 3 + lost as u64, 8);
            trainer.finish(&mut step);
            world.proxies[lost].set(Way::Open);
            trainer.end(&step);
        }
    }
    assert_none(&faults);
}

/// Guards against a key that works after its withdrawal on nodes that the
/// withdrawal can't reach.
#[test]
fn a_withdrawn_key_ends_where_the_store_is_lost() {
    let mut world = World::start("keys", 2, 0);
    let (faults, stop) = (Faults::default(), Stop::default());
    let nodes = world.addresses();
    let caller = {
        let (stop, faults) = (stop.clone(), faults.clone());
        thread::spawn(move || call_until(&stop, &nodes, OLD_KEY, "/app/", "old", &faults))
    };
    thread::sleep(Duration::from_millis(300));
    world.proxies.iter().for_each(|proxy| proxy.set(Way::Silent));
    world.configure(false);
    let withdrawn = Instant::now();
    thread::sleep(WITHDRAWN_KEY + Duration::from_secs(1));
    stop.raise();
    let calls = caller.join().unwrap();
    let runs = world.runs();
    let late: Vec<&str> = calls
        .iter()
        .filter(|call| call.at > withdrawn + WITHDRAWN_KEY && runs.contains_key(&call.id))
        .map(|call| call.id.as_str())
        .collect();
    assert_eq!(late, Vec::<&str>::new());
    assert!(calls.iter().any(|call| call.status == 200), "no call was served before");
    assert_none(&faults);
}

/// Guards against a planned stop that cuts calls, loses a step or takes too long.
#[test]
fn a_planned_stop_cuts_no_call() {
    let mut world = World::start("stop", 3, 0);
    let (faults, stop) = (Faults::default(), Stop::default());
    // The balancer sends no new connections to a node that is about to stop.
    let staying = world.addresses()[1..].to_vec();
    let leaving = vec![world.addresses()[0]];
    let caller = |nodes: Vec<_>, name: &'static str| {
        let (stop, faults) = (stop.clone(), faults.clone());
        thread::spawn(move || call_until(&stop, &nodes, KEY, "/once/", name, &faults))
    };
    let at_leaving = Stop::default();
    let first = {
        let (stop, faults) = (at_leaving.clone(), faults.clone());
        thread::spawn(move || call_until(&stop, &leaving, KEY, "/once/", "leaving", &faults))
    };
    let others = caller(staying, "staying");
    let mut trainer = trainer(&world, &faults);
    let mut job = trainer.submit(0, 12);
    world.nodes[0].terminate();
    thread::sleep(Duration::from_millis(1500));
    at_leaving.raise();
    let calls = first.join().unwrap();
    assert!(world.nodes[0].wait(Duration::from_secs(6)).unwrap(), "the stop was not orderly");
    trainer.finish(&mut job);
    stop.raise();
    let cut =
        |calls: &[crate::world::Called]| calls.iter().filter(|call| call.status != 200).count();
    assert_eq!((cut(&calls), cut(&others.join().unwrap())), (0, 0));
    assert_none(&faults);
}
