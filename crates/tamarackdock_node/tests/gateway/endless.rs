//! Targets and clients that send bytes without end.

use std::{
    net::SocketAddr,
    slice, thread,
    time::{Duration, Instant},
};

use platform_standin::{
    Client, ENDLESS_PLACES, ORDER_PATH, ProxyMode, REPORT_PATH, STREAM_WITHOUT_END,
    script::{Answer, End},
    send_chunks_without_end, send_without_end,
};

use crate::{
    cluster::{Cluster, KEY, Trainer, Violations},
    truncated_answers::{check_answers, check_items, start},
};

/// Connections with bytes without end at the same time.
const CONNECTIONS: usize = 200;
/// Memory limit of the smallest hosts, in MB.
const MEMORY_MB: u64 = 160;
const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time of a call with bytes without end, and of the calls beside it.
const SMALL_CHUNKS_TIME: Duration = Duration::from_secs(5);
/// Longest time for an answer: the time limit of the route and half a second.
const ANSWER_BOUND: Duration = Duration::from_millis(2_500);
/// Clients that send bodies without end, and clients that make calls beside them.
const UPLOADS: usize = 12;
const CALLERS: usize = 4;
/// Time for which all answers of the store go on without end.
const STORE_TIME: Duration = Duration::from_secs(4);
/// Items whose streams go on without end at the same time.
const ENDLESS_ITEMS: usize = 24;
/// Answers that never end, with the place where they don't: their begin, and what is repeated.
const ENDLESS: [(&str, &str, &str); 11] = [
    ("status", "HTTP/1.1 200 ", "a"),
    ("field", "HTTP/1.1 200 OK\r\n{signed}X: ", "a"),
    ("fields", "HTTP/1.1 200 OK\r\n{signed}", "A: b\r\n"),
    ("interim", "", "HTTP/1.1 100 Continue\r\n\r\n"),
    ("noise", "", "a"),
    ("length", "HTTP/1.1 200 OK\r\n{signed}Content-Length: 1000000000000\r\n\r\n", "a"),
    ("close", "HTTP/1.1 200 OK\r\n{signed}\r\n", "a"),
    ("chunk", "HTTP/1.1 200 OK\r\n{signed}Transfer-Encoding: chunked\r\n\r\nfffffffffff\r\n", "a"),
    ("extension", "HTTP/1.1 200 OK\r\n{signed}Transfer-Encoding: chunked\r\n\r\n1;", "a"),
    ("trailers", "HTTP/1.1 200 OK\r\n{signed}Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"),
    (
        "line",
        "HTTP/1.1 200 OK\r\n{signed}Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ",
        "a",
    ),
];
/// The head of a stream without a length.
const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\n{signed}Content-Type: text/event-stream\r\n\r\n";

fn endless() -> Vec<(String, Answer)> {
    let answer = |(place, begin, text): &(&str, &'static str, &'static str)| {
        ((*place).to_owned(), Answer::text(begin, End::Repeat(text)))
    };
    ENDLESS.iter().map(answer).collect()
}

/// Makes calls at the same time and returns their statuses.
fn call_all(node: SocketAddr, path: impl Fn(usize) -> String) -> Vec<u16> {
    let calls: Vec<_> = (0..CONNECTIONS)
        .map(|index| (path(index), format!("endless-{index}")))
        .map(|(path, id)| {
            thread::spawn(move || Client::new(KEY, CLIENT_TIMEOUT).call(node, &path, &id).status())
        })
        .collect();
    calls.into_iter().map(|call| call.join().unwrap()).collect()
}

fn assert_serves(cluster: &Cluster) {
    let used = cluster.nodes[0].peak_memory_mb().expect("the process runs");
    assert!(used < MEMORY_MB, "the process used {used} MB");
    let served = Client::new(KEY, CLIENT_TIMEOUT).call(cluster.addresses()[0], "/app/", "after");
    assert_eq!(served.status(), 200);
}

/// Guards against a process that runs out of memory, a call that never ends and an answer made
/// of bytes that are none, because targets send bytes without end.
#[test]
fn answers_without_end_are_broken_off() {
    let cluster = Cluster::start("endless-answers", 1, 0);
    let place = |index: usize| ENDLESS_PLACES[index % ENDLESS_PLACES.len()];
    let statuses =
        call_all(cluster.addresses()[0], |index| format!("/app/endless/{}", place(index)));
    let wrong: Vec<_> = statuses.iter().filter(|status| !matches!(status, 502..=504)).collect();
    assert_eq!(wrong, Vec::<&u16>::new());
    assert_serves(&cluster);
}

/// Guards against the same for a stream whose first event never ends.
#[test]
fn a_stream_whose_event_never_ends_is_broken_off() {
    let cluster = Cluster::start("endless-streams", 1, 0);
    let statuses = call_all(cluster.addresses()[0], |_| STREAM_WITHOUT_END.into());
    assert!(!statuses.contains(&200), "a stream was complete: {statuses:?}");
    assert_serves(&cluster);
}

/// Guards against an item whose stream stalls but goes on to send a byte now and then: it
/// would hold its step until the item's lifetime ends.
#[test]
fn a_stalled_item_is_continued_elsewhere() {
    let cluster = Cluster::start("stall", 1, 0);
    let violations = Violations::default();
    let nodes = cluster.addresses();
    let mut trainer = Trainer::new("stall", nodes, cluster.store.clone(), violations.clone());
    let mut step = trainer.submit(0, 12);
    trainer.finish(&mut step);
    cluster.check_scores(&step, &violations);
    assert_eq!(violations.all(), Vec::<String>::new());
}

/// Guards against a process that runs out of memory because clients send bodies without end.
#[test]
fn requests_without_end_are_refused() {
    let mut cluster = Cluster::start("endless-requests", 1, 0);
    // So large that the size of one body does not end it.
    cluster.store.allow_bodies(1 << 30);
    cluster.configure(true);
    thread::sleep(Duration::from_secs(1));
    let node = cluster.addresses()[0];
    let until = Instant::now() + Duration::from_secs(4);
    let clients: Vec<_> = (0..CONNECTIONS / 4)
        .map(|index| {
            thread::spawn(move || send_without_end(node, KEY, &format!("endless-{index}"), until))
        })
        .collect();
    let answers: Vec<String> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    let served = answers.iter().filter(|answer| answer.starts_with("HTTP/1.1 2")).count();
    assert_eq!(served, 0);
    assert_serves(&cluster);
}

/// Guards against a client that gets such an answer, or none in time, on each kind of route.
#[test]
fn answers_without_end_reach_no_client() {
    let (cluster, script) = start("endless-kinds", false);
    check_answers("endless", &cluster, &script, &endless(), &[0, 502, 504]);
    assert_serves(&cluster);
}

/// Guards against items and scoring calls that end with such answers, or never.
#[test]
fn answers_without_end_complete_no_item() {
    let (cluster, script) = start("endless-items", false);
    check_items("endless", &cluster, &script, &endless());
    assert_serves(&cluster);
}

/// Guards against a process that keeps all events of streams that go on for ever, each of them
/// sound by itself.
#[test]
fn items_with_events_without_end_begin_again() {
    let (cluster, script) = start("endless-events", false);
    let answer = Answer::text(STREAM_HEAD, End::Events);
    for number in 0..ENDLESS_ITEMS {
        script.set(&format!("events-0-{number}"), slice::from_ref(&answer));
    }
    let violations = Violations::default();
    let store = cluster.store.clone();
    let mut trainer = Trainer::new("events", cluster.addresses(), store, violations.clone());
    let mut step = trainer.submit(0, ENDLESS_ITEMS);
    trainer.finish(&mut step);
    assert_serves(&cluster);
    assert_eq!(violations.all(), Vec::<String>::new());
}

/// Guards against a holder of the duties that keeps what engines answer to its own calls.
#[test]
fn reports_and_orders_without_end_are_broken_off() {
    let (cluster, script) = start("endless-reports", false);
    let answers: Vec<Answer> = endless().into_iter().map(|(_, answer)| answer).collect();
    for path in [REPORT_PATH, ORDER_PATH] {
        script.set(path, &answers);
    }
    let violations = Violations::default();
    let nodes = cluster.addresses();
    let mut trainer = Trainer::new("t", nodes, cluster.store.clone(), violations.clone());
    for number in 0..6 {
        let mut step = trainer.submit(number, 8);
        trainer.finish(&mut step);
    }
    assert_eq!(violations.all(), Vec::<String>::new());
    assert!(script.left(ORDER_PATH) < answers.len(), "no order got an answer without end");
    assert_serves(&cluster);
}

/// Guards against a process that keeps what the store answers, and against one that does not come
/// back from it.
#[test]
fn answers_of_the_store_without_end_are_broken_off() {
    let cluster = Cluster::start("endless-store", 1, 0);
    let violations = Violations::default();
    let nodes = cluster.addresses();
    let mut trainer = Trainer::new("t", nodes, cluster.store.clone(), violations.clone());
    let mut step = trainer.submit(0, 24);
    cluster.proxies[0].set(ProxyMode::Endless);
    thread::sleep(STORE_TIME);
    let begun = cluster.proxies[0].endless_answers();
    cluster.proxies[0].set(ProxyMode::Open);
    cluster.wait_until_served();
    trainer.finish(&mut step);
    assert_eq!(violations.all(), Vec::<String>::new());
    assert!(begun >= 8, "{begun} answers without end");
    assert_serves(&cluster);
}

/// Makes calls for some time, and returns the statuses of all of them, 0 for those that were not
/// answered in time.
fn call_beside(node: SocketAddr) -> Vec<u16> {
    let until = Instant::now() + SMALL_CHUNKS_TIME;
    let call = |caller: usize| {
        let mut statuses = Vec::new();
        while Instant::now() < until {
            let id = format!("beside-{caller}-{}", statuses.len());
            statuses.push(Client::new(KEY, ANSWER_BOUND).call(node, "/app/beside", &id).status());
        }
        statuses
    };
    thread::scope(|scope| {
        let callers: Vec<_> =
            (0..CALLERS).map(|caller| scope.spawn(move || call(caller))).collect();
        callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect()
    })
}

fn assert_all_answered(statuses: &[u16]) {
    assert!(statuses.contains(&200), "{statuses:?}");
    assert!(!statuses.contains(&0), "calls without an answer in time: {statuses:?}");
}

/// Guards against a process that answers nobody while it reads one answer: bytes are always there,
/// and the bound on the body does not count the framing.
#[test]
fn small_chunks_without_end_hold_up_no_other_call() {
    let cluster = Cluster::start("endless-chunks", 1, 0);
    let node = cluster.addresses()[0];
    thread::scope(|scope| {
        let endless = scope.spawn(move || {
            Client::new(KEY, CLIENT_TIMEOUT).call(node, "/app/endless/chunks", "chunks").status()
        });
        assert_all_answered(&call_beside(node));
        assert!(matches!(endless.join().unwrap(), 0 | 502..=504));
    });
    assert_serves(&cluster);
}

/// Guards against the same by the bodies of clients.
#[test]
fn requests_of_small_chunks_hold_up_no_other_call() {
    let mut cluster = Cluster::start("endless-uploads", 1, 0);
    cluster.store.allow_bodies(1 << 30);
    cluster.configure(true);
    thread::sleep(Duration::from_secs(1));
    let node = cluster.addresses()[0];
    let until = Instant::now() + SMALL_CHUNKS_TIME;
    thread::scope(|scope| {
        for upload in 0..UPLOADS {
            let id = format!("upload-{upload}");
            scope.spawn(move || send_chunks_without_end(node, KEY, &id, until));
        }
        assert_all_answered(&call_beside(node));
    });
    assert_serves(&cluster);
}
