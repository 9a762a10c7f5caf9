//! Targets of several software versions in one service.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use platform_standin::{BREAKING_STREAM, Client, Engine, ProxyMode, SLOW_STREAM, expected_stream};

use crate::cluster::{Cluster, KEY, Trainer, Violations};

/// Seed of the engines' faults: streams that break in the middle of an event, and refusals.
const SEED: u64 = 7;

/// Returns the ids of first requests of texts of which a run went on after an event that another software
/// version had made, and the number of runs that went on.
pub(crate) fn mixed<'a>(targets: impl Iterator<Item = &'a Engine>) -> (Vec<String>, usize) {
    let mut runs: BTreeMap<String, Vec<(Instant, &str, bool)>> = BTreeMap::new();
    for target in targets {
        for run in target.runs() {
            let part = (run.started_at, target.software(), run.resumed);
            runs.entry(run.first).or_default().push(part);
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

/// Number of streams in a test.
const STREAMS: usize = 24;
/// Most attempts of a client for one stream: each brings at least three of 64 events.
const ATTEMPTS: usize = 30;

/// Receives a stream to its end, with attempts at one node after the other. Returns its bytes,
/// and the number of attempts that the nodes refused.
pub(crate) fn receive(cluster: &Cluster, path: &str, first: &str) -> (Vec<u8>, usize) {
    let nodes = cluster.addresses();
    let mut client = Client::new(KEY, Duration::from_secs(2));
    let mut received = client.stream(nodes[0], path, first, None);
    let mut refused = 0;
    for attempt in 1..ATTEMPTS {
        if received.is_complete {
            break;
        }
        let last = received.last_event().unwrap_or_else(|| panic!("{first}: {received:?}"));
        let node = nodes[attempt % nodes.len()];
        let id = format!("{first}-{attempt}");
        let next = client.stream(node, path, &id, Some((first, last)));
        match next.status {
            200 => {
                received.body.extend(next.body);
                received.is_complete = next.is_complete;
            }
            _ => refused += 1,
        }
    }
    (received.body, refused)
}

/// Guards against events that come again when a caller has taken a stream up and its target
/// breaks it off.
#[test]
fn a_stream_that_was_taken_up_repeats_no_event() {
    let cluster = Cluster::start("taken-up", 2, 0);
    for number in 0..6 {
        let first = format!("taken-up-{number}");
        let (received, refused) = receive(&cluster, BREAKING_STREAM, &first);
        let expected = expected_stream(&first);
        assert_eq!(String::from_utf8(received), String::from_utf8(expected), "{first}");
        assert_eq!(refused, 0);
    }
}

/// Guards against streams that hold events of two software versions: when their target breaks
/// off, and when callers take them up at other nodes, some of which have been killed meanwhile.
#[test]
fn streams_go_on_at_the_software_version_that_began_them() {
    let mut cluster = Cluster::start("software-streams", 4, 0);
    cluster.services[1].install("v2");
    cluster.services[3].install("v2");
    // Entries are written again, and the nodes know each other.
    thread::sleep(Duration::from_secs(1));
    let mut refused = 0;
    for number in 0..STREAMS {
        let path = if number % 2 == 0 { "/stream/resumed" } else { BREAKING_STREAM };
        let first = format!("stream-{number}");
        let (received, refusals) = receive(&cluster, path, &first);
        refused += refusals;
        let expected = expected_stream(&first);
        assert_eq!(String::from_utf8(received), String::from_utf8(expected), "{first}");
        if number % 6 == 5 {
            let node = number / 6 % cluster.nodes.len();
            cluster.nodes[node].restart();
            thread::sleep(Duration::from_millis(700));
        }
    }
    let (mixed, resumed) = mixed(cluster.services.iter());
    assert_eq!(mixed, Vec::<String>::new());
    assert!(resumed >= STREAMS, "only {resumed} runs went on");
    assert_eq!(refused, 0);
}

/// Time after which what was written beside a stream's first event is in the store.
const WRITTEN: Duration = Duration::from_millis(500);

/// Begins streams at the same time, which their targets break off. Returns the last event of
/// each, by the id of its first attempt.
fn begin_streams(nodes: &[SocketAddr], name: &str, count: usize) -> Vec<(String, u64)> {
    let begin = |number: usize| {
        let (node, name) = (nodes[number % nodes.len()], format!("{name}-{number}"));
        thread::spawn(move || {
            let mut client = Client::new(KEY, Duration::from_secs(2));
            // Short streams end before they are broken off for good.
            let mut attempts = (0..100).filter_map(|attempt| {
                let first = format!("{name}-{attempt}");
                let received = client.stream(node, BREAKING_STREAM, &first, None);
                let last = received.last_event().filter(|_| !received.is_complete)?;
                Some((first, last))
            });
            attempts.next().expect("a stream is broken off")
        })
    };
    let streams: Vec<_> = (0..count).map(begin).collect();
    streams.into_iter().map(|stream| stream.join().unwrap()).collect()
}

/// Takes streams up, at several nodes if they refuse. Returns how many went on.
fn take_up(nodes: &[SocketAddr], streams: &[(String, u64)]) -> usize {
    let mut client = Client::new(KEY, Duration::from_secs(2));
    let mut went_on = 0;
    for (number, (first, last)) in streams.iter().enumerate() {
        let is_taken_up = (0..4).any(|attempt| {
            let node = nodes[(number + attempt) % nodes.len()];
            let id = format!("{first}-again-{attempt}");
            client.stream(node, BREAKING_STREAM, &id, Some((first, *last))).status == 200
        });
        went_on += usize::from(is_taken_up);
    }
    went_on
}

/// Guards against streams that go on at another software version, or not at all, because all
/// nodes that knew which version began them were killed.
#[test]
fn streams_go_on_after_the_loss_of_all_nodes() {
    let mut cluster = Cluster::start("software-loss", 3, 0);
    cluster.add_services(4, "v2");
    thread::sleep(Duration::from_secs(1));
    let streams = begin_streams(&cluster.addresses(), "both", STREAMS);
    thread::sleep(WRITTEN);
    cluster.nodes.iter_mut().for_each(platform_standin::Node::kill);
    cluster.nodes.iter_mut().for_each(platform_standin::Node::restart);
    cluster.wait_until_served();
    let went_on = take_up(&cluster.addresses(), &streams);
    let (mixed, _) = mixed(cluster.services.iter());
    assert_eq!(mixed, Vec::<String>::new());
    assert_eq!(went_on, STREAMS);
}

/// Guards against the same when the version that began the streams has left meanwhile, so that
/// the nodes find one version only.
#[test]
fn streams_of_a_version_that_left_do_not_go_on_at_another() {
    let mut cluster = Cluster::start("software-left", 3, 0);
    let streams = begin_streams(&cluster.addresses(), "left", STREAMS);
    thread::sleep(WRITTEN);
    cluster.nodes.iter_mut().for_each(platform_standin::Node::kill);
    cluster.services.iter().for_each(|service| service.deregister(&cluster.store));
    cluster.add_services(4, "v2");
    cluster.nodes.iter_mut().for_each(platform_standin::Node::restart);
    cluster.wait_until_served();
    let went_on = take_up(&cluster.addresses(), &streams);
    let (mixed, _) = mixed(cluster.services.iter());
    assert_eq!((mixed, went_on), (Vec::new(), 0));
    let (begun, _) = receive(&cluster, "/stream/resumed", "new");
    assert_eq!(String::from_utf8(begun), String::from_utf8(expected_stream("new")));
}

/// Replaces the version that serves by another one while node 0 does not notice, and kills all
/// other nodes after they have begun streams. Returns the streams.
fn replace_version_behind(cluster: &mut Cluster) -> Vec<(String, u64)> {
    let nodes = cluster.addresses();
    cluster.services.iter().for_each(|service| service.deregister(&cluster.store));
    cluster.add_services(4, "v2");
    thread::sleep(Duration::from_millis(500));
    let streams = begin_streams(&nodes[1..], "behind", STREAMS);
    thread::sleep(Duration::from_millis(300));
    cluster.nodes[1..].iter_mut().for_each(platform_standin::Node::kill);
    streams
}

/// Takes up the same streams at node 0 at once, and again when it is in step. Checks that none
/// holds events of two versions, and that all go on in the end.
fn check_taken_up(cluster: &Cluster, streams: &[(String, u64)], end_fault: impl FnOnce()) {
    let node = cluster.addresses()[0];
    let callers: Vec<_> = streams
        .iter()
        .cloned()
        .map(|stream| thread::spawn(move || take_up(&[node], &[stream])))
        .collect();
    // Their requests wait in the sockets of a node that stands still.
    thread::sleep(Duration::from_millis(100));
    end_fault();
    for caller in callers {
        caller.join().unwrap();
    }
    assert_eq!(mixed(cluster.services.iter()).0, Vec::<String>::new());
    thread::sleep(Duration::from_secs(2));
    assert_eq!(take_up(&[node], streams), streams.len());
    assert_eq!(mixed(cluster.services.iter()).0, Vec::<String>::new());
}

/// Guards against a node that takes the only version that it knows for the one that began a
/// stream, though it stood still while another one joined.
#[test]
fn a_node_that_stood_still_mixes_no_versions() {
    let mut cluster = Cluster::start("software-still", 8, 0);
    cluster.nodes[0].pause();
    let streams = replace_version_behind(&mut cluster);
    check_taken_up(&cluster, &streams, || cluster.nodes[0].resume());
}

/// Guards against the same at a node that was cut off from the store.
#[test]
fn a_node_that_was_cut_off_mixes_no_versions() {
    let mut cluster = Cluster::start("software-cut", 8, 0);
    cluster.proxies[0].set(ProxyMode::DropAll);
    let streams = replace_version_behind(&mut cluster);
    check_taken_up(&cluster, &streams, || cluster.proxies[0].set(ProxyMode::Open));
}

/// Guards against a stream of unknown origin that goes on because one version serves: it can have
/// begun at another one that has left.
#[test]
fn a_stream_of_unknown_origin_is_refused() {
    let cluster = Cluster::start("software-unknown", 2, 0);
    let mut client = Client::new(KEY, Duration::from_secs(2));
    let taken_up = Some(("never-begun", 3));
    let received = client.stream(cluster.addresses()[1], BREAKING_STREAM, "unknown", taken_up);
    assert_eq!((received.status, cluster.runs().get("unknown")), (503, None));
}

/// Guards against a stream that goes on at a target that crashed and started again with other
/// software, while its entry still names the one before.
#[test]
fn streams_do_not_go_on_at_a_target_that_has_restarted() {
    let cluster = Cluster::start_gated("software-restarted", 2, 0);
    let nodes = cluster.addresses();
    let restarted = &cluster.services[0];
    let gate = cluster.engines.len();
    cluster.services[1..].iter().for_each(|service| service.install("v2"));
    // Entries are written again in the meantime.
    thread::sleep(Duration::from_secs(1));
    let caller = thread::spawn(move || {
        let mut client = Client::new(KEY, Duration::from_secs(6));
        client.stream(nodes[0], SLOW_STREAM, "restarted", None)
    });
    let until = Instant::now() + Duration::from_secs(2);
    while !restarted.runs().iter().any(|run| run.id == "restarted") {
        assert!(Instant::now() < until, "the stream began elsewhere");
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(Duration::from_millis(600));
    restarted.restart_with("v2");
    cluster.cut_target(gate, ProxyMode::Reset);
    let begun = caller.join().unwrap();
    let last = begun.last_event().expect("events came before the crash");
    assert!(!begun.is_complete);
    let nodes = cluster.addresses();
    let take_up = |id: &str| -> Vec<u16> {
        let mut client = Client::new(KEY, Duration::from_secs(2));
        let taken_up = Some(("restarted", last));
        let nodes = nodes.iter().enumerate();
        nodes
            .map(|(index, node)| {
                client.stream(*node, SLOW_STREAM, &format!("{id}-{index}"), taken_up).status
            })
            .collect()
    };
    let is_refused = |statuses: Vec<u16>| statuses.iter().all(|status| *status == 503);
    assert!(is_refused(take_up("down")));
    cluster.cut_target(gate, ProxyMode::Open);
    for attempt in 0..8 {
        let is_refused = is_refused(take_up(&format!("back-{attempt}")));
        assert!(is_refused, "attempt {attempt}: the entry is that of the run before");
        thread::sleep(Duration::from_millis(50));
    }
    restarted.write_entries();
    thread::sleep(Duration::from_secs(1));
    assert!(is_refused(take_up("written")), "no target runs the software that began the stream");
    // The next run is the one that began it.
    restarted.install("v1");
    thread::sleep(Duration::from_secs(1));
    assert_eq!(take_up("same"), [200, 200]);
}
