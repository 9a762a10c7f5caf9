//! Answers of targets that have not read the whole request. Nodes are suspended while a target
//! answers and ends the connection, so that all of it has happened before their next system call.

use std::{
    io::Write as _,
    net::TcpStream,
    ops::RangeInclusive,
    thread,
    time::{Duration, Instant},
};

use platform_standin::{
    Client, EarlyEnd, EarlySteps, Engine, LARGE_BYTES, LARGE_ITEMS, LARGE_SCORES, Node, Outcome,
    SCRIPTED_STREAM, SCRIPTED_STREAM_ONCE, expected_events, expected_stream, raw, scoring_call,
    scoring_fails,
    script::{Part, Script},
};

use serde_json::Value;

use crate::{
    cluster::{Cluster, KEY},
    truncated_answers::start,
};

const TIMEOUT: Duration = Duration::from_secs(2);
/// Bounds waits for the state of processes.
const BOUND: Duration = Duration::from_secs(10);
/// Time in which a job with one large item is accepted or completed.
const JOB_BOUND: Duration = Duration::from_secs(15);
/// Most attempts of a route.
const ATTEMPTS: usize = 3;
const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;
/// Events that come before a stream ends early.
const EVENTS: usize = 3;
/// The head of an answer whose end is that of its connection.
const HEAD: &str = "HTTP/1.1 200 OK\r\n{signed}\r\n";
const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\n{signed}Content-Type: text/event-stream\r\n\r\n";

/// Ends that break a connection off, and those that are in order.
const BROKEN: [EarlyEnd; 2] = [EarlyEnd::Reset, EarlyEnd::Close];
const ORDERLY: [EarlyEnd; 2] = [EarlyEnd::HalfClose, EarlyEnd::ReadOn];

/// Starts nodes that accept large bodies. If `is_cut`, requests at the first one go through others.
fn start_large(name: &str, is_cut: bool) -> (Cluster, Script) {
    let (mut cluster, script) = start(name, is_cut);
    if is_cut {
        lose_paths(&cluster);
    }
    cluster.store.allow_bodies(MAX_BODY_BYTES);
    cluster.configure(true);
    let body = vec![b'a'; LARGE_BYTES];
    let until = Instant::now() + BOUND;
    for (number, node) in cluster.addresses().into_iter().enumerate() {
        let mut client = Client::new(KEY, TIMEOUT);
        let mut attempts = (0..).map(|attempt| format!("{name}-allowed-{number}-{attempt}"));
        while client.upload(node, "/app/allowed", &attempts.next().unwrap(), &body).status() != 200
        {
            assert!(Instant::now() < until, "node {number} serves no large bodies");
            thread::sleep(Duration::from_millis(50));
        }
    }
    (cluster, script)
}

/// Breaks connections to targets until the first node, which is cut off from them, has found that.
/// Those that were open before stay open, through a proxy that turns resets into closes.
fn lose_paths(cluster: &Cluster) {
    let mut client = Client::new(KEY, TIMEOUT);
    let until = Instant::now() + BOUND;
    let mut ids = (0..).map(|attempt| format!("crash-{attempt}"));
    while cluster.node_lines(0, "paths: lost").is_empty() {
        assert!(Instant::now() < until, "the node has not lost its paths");
        let id = ids.next().unwrap();
        client.call(cluster.addresses()[0], &format!("/app/{id}"), &id);
    }
}

/// Sends a large request to the first node, and lets its first target answer while it is being
/// written.
fn send(
    cluster: &Cluster,
    script: &Script,
    path: &str,
    id: &str,
    parts: &[Part],
    end: EarlyEnd,
) -> Outcome {
    let steps = script.set_early(id, parts.to_vec(), end);
    let node = cluster.addresses()[0];
    // Requests that are alike count as one that crashes its targets.
    let body = id.as_bytes().repeat(LARGE_BYTES / id.len());
    thread::scope(|scope| {
        let call = scope.spawn(|| Client::new(KEY, TIMEOUT).upload(node, path, id, &body));
        answer(cluster, &steps);
        call.join().unwrap()
    })
}

/// Lets a target answer the request that it has begun to read, while all nodes are suspended.
fn answer(cluster: &Cluster, steps: &EarlySteps) {
    steps.wait_for_request();
    cluster.nodes.iter().for_each(Node::pause);
    let until = Instant::now() + BOUND;
    while !cluster.nodes.iter().all(Node::is_paused) {
        assert!(Instant::now() < until, "a process does not stop");
        thread::yield_now();
    }
    steps.answer();
    cluster.nodes.iter().for_each(Node::resume);
}

/// A kind of request.
#[derive(Debug, Clone, Copy)]
struct Kind {
    name: &'static str,
    /// Path, to which the id of a request is added.
    path: &'static str,
    is_stream: bool,
    may_repeat: bool,
}

impl Kind {
    const fn call(name: &'static str, path: &'static str, may_repeat: bool) -> Self {
        Self { name, path, is_stream: false, may_repeat }
    }

    const fn stream(name: &'static str, path: &'static str, may_repeat: bool) -> Self {
        Self { name, path, is_stream: true, may_repeat }
    }

    /// Returns what the target sends early.
    fn early_parts(self) -> Vec<Part> {
        if self.is_stream {
            vec![Part::Text(STREAM_HEAD), Part::Events(1..=EVENTS)]
        } else {
            vec![Part::Text(HEAD), Part::Text("part")]
        }
    }

    /// Returns the bodies of whole answers of which the client is to get one, or none for no success.
    fn expected(self, id: &str, end: EarlyEnd) -> Vec<Vec<u8>> {
        let whole = expected_stream(id);
        let later = format!("answer to {id}").into_bytes();
        match (BROKEN.contains(&end), self.may_repeat, self.is_stream) {
            (true, false, _) => Vec::new(),
            (true, true, false) => vec![later],
            (true, true, true) => vec![whole],
            (false, false, false) => vec![b"part".to_vec()],
            (false, true, false) => vec![b"part".to_vec(), later],
            (false, _, true) => {
                let lines = whole.split_inclusive(|byte| *byte == b'\n');
                vec![lines.take(3 * EVENTS).flatten().copied().collect()]
            }
        }
    }

    /// Returns how often a request may run.
    fn expected_runs(self, end: EarlyEnd) -> RangeInclusive<usize> {
        let least = if self.may_repeat && BROKEN.contains(&end) { 2 } else { 1 };
        least..=if self.is_hedged() { ATTEMPTS } else { least }
    }

    /// Returns whether another target's answer can come first, as the call is hedged.
    fn is_hedged(self) -> bool {
        self.may_repeat && !self.is_stream
    }
}

const KINDS: [Kind; 4] = [
    Kind::call("once", "/once/", false),
    Kind::call("call", "/app/", true),
    Kind::stream("once_stream", SCRIPTED_STREAM_ONCE, false),
    Kind::stream("stream", SCRIPTED_STREAM, true),
];

/// Checks what clients get of early answers that end in some ways.
fn check(name: &str, is_cut: bool, ends: &[EarlyEnd]) {
    let (cluster, script) = start_large(name, is_cut);
    let mut faults = Vec::new();
    for (kind, end) in KINDS.iter().flat_map(|kind| ends.iter().map(move |end| (kind, *end))) {
        let id = id(&format!("{name}-{}-{end:?}", kind.name));
        let separator = if kind.is_stream { "?" } else { "" };
        let path = format!("{}{separator}{id}", kind.path);
        let outcome = send(&cluster, &script, &path, &id, &kind.early_parts(), end);
        let is_right = match (&outcome, kind.expected(&id, end)) {
            (Outcome::Answer { status: 200, body, .. }, expected) => expected.contains(body),
            (Outcome::Answer { status: 502, .. } | Outcome::Broken, expected) => {
                expected.is_empty()
            }
            _ => false,
        };
        let runs = cluster.runs().get(&id).copied().unwrap_or_default();
        if !is_right || !kind.expected_runs(end).contains(&runs) {
            faults.push(format!("{id} after {runs} runs: {outcome:?}"));
        }
    }
    assert!(faults.is_empty(), "{} faults:\n{}", faults.len(), faults.join("\n"));
    let attempts = cluster.node_lines(0, "call: attempt");
    let attempts = attempts.iter().filter(|line| line.contains(&format!("\"{name}-")));
    let other_path = format!("\"path\":\"{}\"", if is_cut { "own" } else { "peer" });
    let others: Vec<_> = attempts.filter(|line| line.contains(&other_path)).collect();
    assert!(others.is_empty(), "attempts over the other path: {others:?}");
}

/// Returns an id whose stream has more events than those that come early.
fn id(name: &str) -> String {
    let mut ids = (0..).map(|number| format!("{name}-{number}"));
    ids.find(|id| expected_events(id).len() > EVENTS + 2).unwrap()
}

/// Guards against a part of an answer or of a stream that clients get as a whole one, because the
/// node takes the end of a connection that was reset for an orderly one.
#[test]
fn early_answers_that_are_broken_off_are_no_success() {
    check("early-broken", false, &BROKEN);
}

/// Guards against the same where another node forwards the requests.
#[test]
fn early_answers_that_are_broken_off_through_another_node_are_no_success() {
    check("early-broken-forwarded", true, &BROKEN);
}

/// Guards against sound answers that are lost because the target gave them before it had read the
/// request.
#[test]
fn early_answers_that_end_in_order_are_served() {
    check("early-orderly", false, &ORDERLY);
}

/// Guards against the same where another node forwards the requests.
#[test]
fn early_answers_that_end_in_order_are_served_through_another_node() {
    check("early-orderly-forwarded", true, &ORDERLY);
}

/// Guards against the begin of a request that a target gets as a whole one, because its client
/// reset or closed the connection.
#[test]
fn requests_that_end_early_reach_no_target() {
    let (cluster, _) = start_large("early-requests", false);
    let node = cluster.addresses()[0];
    let begins = [
        ("length", format!("Content-Length: {LARGE_BYTES}\r\n\r\n")),
        ("chunks", "Transfer-Encoding: chunked\r\n\r\n100000\r\n".to_owned()),
        ("continue", format!("Expect: 100-continue\r\nContent-Length: {LARGE_BYTES}\r\n\r\n")),
    ];
    for (name, begin) in begins {
        for (size, bytes) in [("none", 0), ("part", LARGE_BYTES / 32), ("more", LARGE_BYTES / 2)] {
            // A chunk holds 1 MB.
            let bytes = if name == "chunks" { bytes.min(0x0f_ffff) } else { bytes };
            for path in ["/once/", "/app/"] {
                let id = format!("begin-{name}-{size}{}", path.replace('/', "-"));
                let head = raw::head(&format!("POST {path}{id}"), KEY, &id);
                let request = [head.as_bytes(), begin.as_bytes(), &vec![b'a'; bytes]].concat();
                raw::send_and_reset(node, &request).unwrap();
                drop(TcpStream::connect(node).and_then(|mut stream| stream.write_all(&request)));
            }
        }
    }
    assert_eq!(Client::new(KEY, TIMEOUT).call(node, "/once/after", "after").status(), 200);
    let begun: Vec<_> = cluster.runs().into_keys().filter(|id| id.starts_with("begin-")).collect();
    assert_eq!(begun, Vec::<String>::new());
}

/// Guards against items with a part of a text or with a score that is a part of an answer, for the
/// same reason.
#[test]
fn early_answers_that_are_broken_off_complete_no_item() {
    let (cluster, script) = start_large("early-items", false);
    let stream = [Part::Text(STREAM_HEAD), Part::Events(1..=EVENTS)];
    let score = [Part::Text(HEAD), Part::Text("part")];
    let mut wrong = Vec::new();
    for end in BROKEN {
        for prefix in [LARGE_ITEMS, LARGE_SCORES] {
            let item = item(&format!("{prefix}{end:?}"));
            let steps = if prefix == LARGE_ITEMS {
                script.set_early(&item, stream.to_vec(), end)
            } else {
                script.set_early(&scoring_call(&item), score.to_vec(), end)
            };
            let result = complete(&cluster, &item, &steps);
            let call = scoring_call(&item);
            let scores = cluster.services.iter().flat_map(Engine::scores);
            let seals: Vec<_> =
                scores.filter(|score| score.call == call).map(|score| score.seal).collect();
            let is_scored = seals.iter().any(|seal| result["score"] == **seal);
            let text = expected_events(&item).join("\n");
            if result["state"] != "completed" || result["text"] != text || !is_scored {
                wrong.push(format!("{item}: {result}"));
            }
        }
    }
    assert!(wrong.is_empty(), "{} faults:\n{}", wrong.len(), wrong.join("\n"));
}

/// Returns an id as [`id`] does, for an item whose scoring calls succeed.
fn item(name: &str) -> String {
    let mut ids = (0..).map(|number| id(&format!("{name}-{number}")));
    ids.find(|id| !scoring_fails(id)).unwrap()
}

/// Submits a job with one item, lets a target answer the item or its scoring call early, and
/// returns the item's result.
fn complete(cluster: &Cluster, item: &str, steps: &EarlySteps) -> Value {
    let node = cluster.addresses()[0];
    let mut client = Client::new(KEY, JOB_BOUND);
    let (job, items) = (format!("job-of-{item}"), [(item.to_owned(), "g0".to_owned())]);
    assert_eq!(client.submit(node, &job, 0, 1, &items).status(), 202);
    answer(cluster, steps);
    let until = Instant::now() + JOB_BOUND;
    loop {
        assert!(Instant::now() < until, "{item} is not completed");
        match &client.results(node, &job, 0).json()["results"][0] {
            Value::Null => {}
            result => return result.clone(),
        }
    }
}
