//! Clients that are not trusted: a small crowd of them must neither end nor block a process. The
//! limits of the process are lowered in its settings, and the checks are those that do not depend
//! on the speed of the machine: the process lives, its memory and descriptors stay under a bound,
//! and an ordinary request is answered afterwards.

#[path = "gateway/cluster.rs"]
#[allow(dead_code, reason = "the module is shared with the tests in `gateway.rs`")]
mod cluster;

use std::{
    fs,
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    os::unix::fs::PermissionsExt as _,
    path::{Path, PathBuf},
    sync::{Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use platform_standin::{Client, connect_with_small_window, raw};

use crate::cluster::{Cluster, KEY, Programs};

/// `limits.memory_mb` of the process, and the bound of its peak memory.
const MEMORY_MB: u64 = 48;
/// Process limit of descriptors in the tests of the other resources.
const MANY_DESCRIPTORS: usize = 4096;
/// Process limit of descriptors where these are tested.
const FEW_DESCRIPTORS: usize = 600;
/// Descriptors that the process keeps for files.
const FILE_DESCRIPTORS: usize = 200;
/// Largest head of a request, as in the configuration of the stand-in.
const HEAD_BYTES: usize = 16_384;
/// Connections of clients that send heads.
const HEAD_CONNECTIONS: usize = 2_400;
/// Connections of clients that send requests behind one that waits.
const AHEAD_CONNECTIONS: usize = 800;
/// Bytes that each of them sends ahead.
const AHEAD_BYTES: usize = 60_000;
/// Connections of clients that read no response, and the requests that each one sends.
const UNREAD_CONNECTIONS: usize = 120;
const UNREAD_REQUESTS: usize = 20;
/// Time between two of these requests.
const ROUND_PAUSE: Duration = Duration::from_millis(500);
/// Bytes of each of their responses.
const RESPONSE_BYTES: usize = 1_000_000;
/// Bytes of an item's body, whose encoding fits into the body of a submission.
const ITEM_BYTES: usize = 600_000;
/// Items of the job whose results are read, with ids of this length. Their texts fill a page.
const PAGE_ITEMS: usize = 600;
const PAGE_ID_BYTES: usize = 48;
/// Bytes of results from which on pages are read.
const PAGE_BYTES: usize = 500_000;
/// Jobs of many small items, and the items of each. Each job has 3.5 MB.
const SMALL_ITEM_JOBS: usize = 3;
const SMALL_ITEMS: usize = 40_000;
/// Jobs of few large items, and the items of each. Each job has 4.8 MB.
const LARGE_ITEM_JOBS: usize = 6;
const LARGE_ITEMS: usize = 400;
const LARGE_ITEM_BYTES: usize = 9_000;
/// Most bytes of a request, as the configuration of these tests allows.
const BODY_BYTES: u64 = 8 * 1024 * 1024;
/// Connections of clients that send nothing.
const IDLE_CONNECTIONS: usize = 700;
const CLIENT_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time for which a client waits until the process takes its bytes.
const WRITE_TIMEOUT: Duration = Duration::from_millis(100);
/// The process is checked when its peak memory has not grown for this time, while the clients keep
/// their connections.
const HOLD_TIME: Duration = Duration::from_secs(3);
/// Time until an ordinary request must be answered. It is many times what the tests need.
const RECOVERY_BOUND: Duration = Duration::from_secs(30);

/// Time in which a configuration is in force.
const CONFIGURATION_TIME: Duration = Duration::from_secs(2);

/// The crowds of two tests at the same time would take each other's processor.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// A process with lowered limits.
struct Target {
    cluster: Cluster,
    _lock: MutexGuard<'static, ()>,
}

impl Target {
    fn start(name: &str, descriptors: usize) -> Self {
        let lock = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
        let mut cluster = Cluster::start(name, 1, 0);
        let node = &mut cluster.nodes[0];
        node.kill();
        node.set("limits", "memory_mb", MEMORY_MB);
        node.set_program(&limited_program(name, descriptors));
        node.restart();
        cluster.wait_until_served();
        eprintln!("peak memory {:?} MB before", cluster.nodes[0].peak_memory_mb());
        Self { cluster, _lock: lock }
    }

    fn address(&self) -> SocketAddr {
        self.cluster.addresses()[0]
    }

    /// Checks memory and descriptors, and that an ordinary request is answered.
    fn check(&self, descriptors: usize) {
        self.settle();
        let node = &self.cluster.nodes[0];
        let open = node.open_descriptors().expect("the process runs");
        let used = node.peak_memory_mb().expect("the process lives");
        eprintln!("peak memory {used} MB, {open} descriptors");
        assert!(used < MEMORY_MB, "the process used {used} MB");
        assert!(open < descriptors, "the process has {open} descriptors");
        self.check_served();
        let used = node.peak_memory_mb().expect("the process lives");
        assert!(used < MEMORY_MB, "the process used {used} MB");
    }

    /// Waits until the process has taken what the clients send.
    fn settle(&self) {
        let until = Instant::now() + RECOVERY_BOUND;
        let mut last = (None, Instant::now());
        while last.1.elapsed() < HOLD_TIME && Instant::now() < until {
            thread::sleep(Duration::from_millis(100));
            let peak = self.cluster.nodes[0].peak_memory_mb();
            if peak > last.0 {
                last = (peak, Instant::now());
            }
        }
    }

    fn check_served(&self) {
        let until = Instant::now() + RECOVERY_BOUND;
        let mut number = 0;
        loop {
            let mut client = Client::new(KEY, CLIENT_TIMEOUT);
            let status = client.call(self.address(), "/app/", &format!("after-{number}")).status();
            if status == 200 {
                return;
            }
            assert!(Instant::now() < until, "no ordinary request is answered: {status}");
            thread::sleep(Duration::from_millis(50));
            number += 1;
        }
    }
}

/// Writes a program that starts the gateway with a limit of descriptors.
fn limited_program(name: &str, descriptors: usize) -> PathBuf {
    let program = Programs::of_environment().own;
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.sh"));
    let script =
        format!("#!/bin/sh\nulimit -n {descriptors}\nexec '{}' \"$@\"\n", program.display());
    fs::write(&path, script).unwrap();
    fs::set_permissions(&path, fs::Permissions::from_mode(0o755)).unwrap();
    path
}

/// Opens a connection on which neither side waits long for the other.
fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the process listens");
    stream.set_write_timeout(Some(WRITE_TIMEOUT)).unwrap();
    stream
}

/// Returns the start of a request head.
fn head(line: &str, id: &str) -> String {
    raw::head(line, KEY, id)
}

/// Fills a head up to `bytes` with fewer than 96 lines, which a limit of that number permits.
fn fill_with_long_lines(head: &mut String, bytes: usize) {
    let line = format!("x-long: \t,{}\r\n", "; ,".repeat(60));
    while head.len() + line.len() <= bytes {
        head.push_str(&line);
    }
}

/// Fills a head up to `bytes` with lines that are short or odd.
fn fill(head: &mut String, bytes: usize) {
    let lines = ["a:\r\n", "b: \t \r\n", "c:,,;,\r\n", "connection: d\r\n", "!:\"\r\n", "e: f\r\n"];
    for line in lines.iter().cycle() {
        if head.len() + line.len() > bytes {
            return;
        }
        head.push_str(line);
    }
}

/// Sends bytes as far as the process takes them.
fn send(mut stream: &TcpStream, bytes: &[u8]) {
    // The process may refuse the client or close the connection.
    let _ = stream.write_all(bytes);
}

/// Opens connections, sends the same bytes on each and reads nothing.
fn send_ahead(count: usize, bytes: &[u8], open: impl Fn() -> TcpStream + Sync) -> Vec<TcpStream> {
    let open = || {
        let stream = open();
        send(&stream, bytes);
        stream
    };
    thread::scope(|scope| {
        let each =
            |from: usize| scope.spawn(move || (from..count).step_by(8).map(|_| open()).collect());
        let threads: Vec<thread::ScopedJoinHandle<'_, Vec<TcpStream>>> = (0..8).map(each).collect();
        threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
    })
}

/// Sends many requests on each of a few connections and reads no response. The requests come in
/// rounds: a process that is busy with one for long refuses the rest of it with short responses.
fn send_unread(address: SocketAddr, request: &str) -> Vec<TcpStream> {
    let open = || {
        let stream = connect_with_small_window(address).expect("the process listens");
        stream.set_write_timeout(Some(WRITE_TIMEOUT)).unwrap();
        stream
    };
    let crowd: Vec<TcpStream> = (0..UNREAD_CONNECTIONS).map(|_| open()).collect();
    for _ in 0..UNREAD_REQUESTS {
        for stream in &crowd {
            send(stream, request.as_bytes());
        }
        thread::sleep(ROUND_PAUSE);
    }
    crowd
}

/// Submits a job whose only item has a large body and never starts, as its weights are not
/// published.
fn submit_waiting_job(address: SocketAddr, job: &str) {
    submit(address, &raw::waiting_job(job, KEY, ITEM_BYTES));
}

/// Submits a job that must be accepted.
fn submit(address: SocketAddr, request: &str) {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(RECOVERY_BOUND)).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 202"), "{answer}");
}

/// Submits jobs that a process can't hold at the same time, and checks that it lives, runs their
/// items, and completes the job of another client beside them.
fn check_large_jobs(name: &str, jobs: usize, items: usize, bytes: usize) {
    let mut target = Target::start(name, MANY_DESCRIPTORS);
    target.cluster.store.allow_bodies(BODY_BYTES);
    target.cluster.configure(true);
    target.cluster.store.publish(1);
    thread::sleep(CONFIGURATION_TIME);
    let ids: Vec<String> = (0..jobs).map(|job| format!("{name}-{job}")).collect();
    for id in &ids {
        submit(target.address(), &raw::job_of_items(id, KEY, items, bytes));
    }
    let mut client = Client::new(KEY, CLIENT_TIMEOUT);
    let small: Vec<_> = (0..16).map(|item| (format!("small-{item}"), "g".to_owned())).collect();
    assert_eq!(client.submit(target.address(), "small", 2, 1, &small).status(), 202);
    target.check(MANY_DESCRIPTORS);
    let until = Instant::now() + RECOVERY_BOUND;
    let mut listed = |job: &str, wanted: usize| {
        let outcome = client.listed_results(target.address(), job, wanted - 1);
        outcome.status() == 200 && !outcome.json()["results"].as_array().unwrap().is_empty()
    };
    while !listed("small", small.len()) || !listed(&ids[0], 1) {
        assert!(Instant::now() < until, "items do not run");
        thread::sleep(Duration::from_millis(100));
    }
    target.check(MANY_DESCRIPTORS);
}

/// Guards against the rejection of a request that is within the limits, because of the number of
/// its lines.
#[test]
fn a_head_of_short_lines_is_served() {
    let target = Target::start("untrusted-lines", MANY_DESCRIPTORS);
    let mut request = head("POST /app/", "lines");
    fill(&mut request, HEAD_BYTES - 2);
    request.push_str("\r\n");
    let stream = connect(target.address());
    stream.set_read_timeout(Some(CLIENT_TIMEOUT)).unwrap();
    send(&stream, request.as_bytes());
    let mut status = [0; 12];
    (&stream).read_exact(&mut status).unwrap();
    assert_eq!(String::from_utf8_lossy(&status), "HTTP/1.1 200");
    target.check(MANY_DESCRIPTORS);
}

/// Guards against a process that runs out of memory because many heads never end.
#[test]
fn unfinished_heads_are_bounded() {
    let target = Target::start("untrusted-unfinished", MANY_DESCRIPTORS);
    let address = target.address();
    let mut request = head("POST /app/", "unfinished");
    fill(&mut request, HEAD_BYTES - 2);
    let short = send_ahead(HEAD_CONNECTIONS / 4, request.as_bytes(), || connect(address));
    let mut request = head("POST /app/", "unfinished");
    fill_with_long_lines(&mut request, HEAD_BYTES - 2);
    let long = send_ahead(HEAD_CONNECTIONS, request.as_bytes(), || connect(address));
    target.check(MANY_DESCRIPTORS);
    drop((short, long));
}

/// Guards against a process that runs out of memory because of many heads of short lines behind
/// requests that wait for results.
#[test]
fn heads_sent_ahead_are_bounded() {
    let target = Target::start("untrusted-ahead", MANY_DESCRIPTORS);
    let address = target.address();
    submit_waiting_job(address, "ahead");
    let waiting = raw::waiting_read("ahead", KEY);
    let mut next = head("POST /app/", "next");
    // The largest number of such lines that fits below 96 fields.
    fill(&mut next, 600);
    next.push_str("\r\n");
    let request = format!("{waiting}{}", next.repeat(AHEAD_BYTES / next.len()));
    let crowd = send_ahead(AHEAD_CONNECTIONS, request.as_bytes(), || connect(address));
    target.check(MANY_DESCRIPTORS);
    drop(crowd);
}

/// Guards against a process that runs out of memory because clients do not read the responses
/// to their calls.
#[test]
fn unread_answers_are_bounded() {
    let target = Target::start("untrusted-answers", MANY_DESCRIPTORS);
    let request = format!("{}\r\n", head(&format!("POST /once/large/{RESPONSE_BYTES}"), "large"));
    let crowd = send_unread(target.address(), &request);
    target.check(MANY_DESCRIPTORS);
    drop(crowd);
}

/// Guards against the same by pages of results.
#[test]
fn unread_pages_are_bounded() {
    let target = Target::start("untrusted-pages", MANY_DESCRIPTORS);
    target.cluster.store.publish(1);
    let id = |item: usize| format!("{item:0PAGE_ID_BYTES$}");
    let items: Vec<_> = (0..PAGE_ITEMS).map(|item| (id(item), "g".to_owned())).collect();
    let mut client = Client::new(KEY, CLIENT_TIMEOUT);
    assert_eq!(client.submit(target.address(), "pages", 1, 1, &items).status(), 202);
    let until = Instant::now() + RECOVERY_BOUND;
    let mut page = Vec::new();
    while page.len() < PAGE_BYTES {
        assert!(Instant::now() < until, "a page has only {} bytes", page.len());
        thread::sleep(Duration::from_millis(100));
        let outcome = client.listed_results(target.address(), "pages", 0);
        if let platform_standin::Outcome::Answer { status: 200, body, .. } = outcome {
            page = body;
        }
    }
    eprintln!("pages of {} bytes", page.len());
    let request = raw::results_read("pages", KEY);
    let crowd = send_unread(target.address(), &request);
    target.check(MANY_DESCRIPTORS);
    drop(crowd);
}

/// Guards against the same by bodies of items.
#[test]
fn unread_items_are_bounded() {
    let target = Target::start("untrusted-items", MANY_DESCRIPTORS);
    submit_waiting_job(target.address(), "items");
    let request = raw::item_read("items", "large", KEY);
    let crowd = send_unread(target.address(), &request);
    target.check(MANY_DESCRIPTORS);
    drop(crowd);
}

/// Guards against a process that runs out of memory because accepted jobs have very many items, each
/// of which takes far more memory than it has bytes.
#[test]
fn jobs_of_many_items_are_bounded() {
    check_large_jobs("untrusted-many", SMALL_ITEM_JOBS, SMALL_ITEMS, 3);
}

/// Guards against the same by several jobs of large items, each of which the process could hold.
#[test]
fn jobs_of_large_items_are_bounded() {
    check_large_jobs("untrusted-large", LARGE_ITEM_JOBS, LARGE_ITEMS, LARGE_ITEM_BYTES);
}

/// Guards against connections that take the descriptors for targets, the store and peers.
#[test]
fn idle_connections_leave_descriptors() {
    let target = Target::start("untrusted-idle", FEW_DESCRIPTORS);
    let address = target.address();
    let crowd = send_ahead(IDLE_CONNECTIONS, b"", || connect(address));
    target.check(FEW_DESCRIPTORS - FILE_DESCRIPTORS);
    drop(crowd);
}
