//! Answers that end early, at each place of their head and body.

use std::{net::SocketAddr, slice, thread, time::Duration};

use platform_standin::{
    Client, Outcome, ProxyMode, SCRIPTED_STREAM, SCRIPTED_STREAM_ONCE, expected_stream,
    scoring_call, scoring_fails,
    script::{Answer, End, Part, Script},
};

use crate::cluster::{Cluster, KEY, Step, Trainer, Violations};

const TIMEOUT: Duration = Duration::from_secs(2);
/// Most attempts of a route.
const ATTEMPTS: usize = 3;

/// Where answers end, by name, with their bytes up to there.
const PLACES: [(&str, &str); 14] = [
    ("version", "HTTP/1."),
    ("status", "HTTP/1.1 20"),
    ("reason", "HTTP/1.1 200 OK"),
    ("status_line", "HTTP/1.1 200 OK\r\n"),
    ("name", "HTTP/1.1 200 OK\r\n{signed}Content-Le"),
    ("value", "HTTP/1.1 200 OK\r\n{signed}Content-Length: 1"),
    ("fields", "HTTP/1.1 200 OK\r\n{signed}Content-Type: text/event-stream\r\n"),
    ("blank_line", "HTTP/1.1 200 OK\r\n{signed}Content-Type: text/event-stream\r\n\r"),
    ("interim", "HTTP/1.1 100 Continue\r\nX: "),
    ("after_interim", "HTTP/1.1 100 Continue\r\n\r\n"),
    (
        "body",
        "HTTP/1.1 200 OK\r\n{signed}Content-Type: text/event-stream\r\nContent-Length: 99\r\n\r\n\
         id: 1\nda",
    ),
    (
        "size",
        "HTTP/1.1 200 OK\r\n{signed}Content-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n1",
    ),
    (
        "chunk",
        "HTTP/1.1 200 OK\r\n{signed}Content-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n10\r\nid: 1\n",
    ),
    (
        "last_chunk",
        "HTTP/1.1 200 OK\r\n{signed}Content-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n0\r\n",
    ),
];
/// An answer without a length, which is complete if its connection is closed and not reset.
const WITHOUT_LENGTH: &str = "HTTP/1.1 200 OK\r\n{signed}Connection: close\r\nContent-Type: text/event-stream\r\n\r\nid: 1\n";

/// The same for a stream, before its events.
const STREAM_WITHOUT_LENGTH: &str =
    "HTTP/1.1 200 OK\r\n{signed}Connection: close\r\nContent-Type: text/event-stream\r\n\r\n";
/// Events before a stream ends, fewer than it has.
const EVENTS: usize = 3;

/// Returns a stream without a length that ends right after an event.
fn after_an_event(end: End) -> Answer {
    Answer { parts: vec![Part::Text(STREAM_WITHOUT_LENGTH), Part::Events(1..=EVENTS)], end }
}

/// Returns answers that end early, by name.
fn truncated() -> Vec<(String, Answer)> {
    let ends = |(name, text): &(&str, &'static str)| {
        [("closed", End::Close), ("reset", End::Reset)]
            .map(|(ending, end)| (format!("{name}-{ending}"), Answer::text(text, end)))
    };
    let mut answers: Vec<_> = PLACES.iter().flat_map(ends).collect();
    answers.push(("without_length-reset".into(), Answer::text(WITHOUT_LENGTH, End::Reset)));
    answers.push(("after_an_event-reset".into(), after_an_event(End::Reset)));
    answers
}

/// Starts nodes and engines that follow a script. If `is_cut`, requests at the first node go
/// through others.
pub(crate) fn start(name: &str, is_cut: bool) -> (Cluster, Script) {
    let cluster =
        if is_cut { Cluster::start_with_gates(name, 3, 0, 1) } else { Cluster::start(name, 1, 0) };
    let script = Script::default();
    for engine in cluster.engines.iter().chain(&cluster.services) {
        engine.follow(&script);
    }
    if is_cut {
        thread::sleep(Duration::from_secs(1));
        cluster.cut(&[0], ProxyMode::Refusing);
        thread::sleep(Duration::from_secs(1));
    }
    (cluster, script)
}

/// What a caller is to get: a success with this body and at least two runs, or no success.
type Expected = Option<Vec<u8>>;

/// Makes calls and streams that are answered by truncated answers, once or always.
fn check(name: &str, is_cut: bool) {
    let (cluster, script) = start(name, is_cut);
    // A caller that gets the begin of a stream sees it break off.
    check_answers(name, &cluster, &script, &truncated(), &[0, 502]);
    let forwarded = cluster.log_lines("forward: no response").len();
    assert_eq!(forwarded > 0, is_cut, "{forwarded} answers to forwarded requests ended early");
}

/// Makes calls and streams that get one of some answers, once or always, and checks that callers
/// get the sound answer to a later attempt, or one of the statuses of a failure.
pub(crate) fn check_answers(
    name: &str,
    cluster: &Cluster,
    script: &Script,
    answers: &[(String, Answer)],
    failures: &[u16],
) {
    let node = cluster.addresses()[0];
    let mut faults = Vec::new();
    for (place, answer) in answers {
        let mut check = |kind: &str, answers: usize, expected: &dyn Fn(&str) -> Expected| {
            let id = format!("{name}-{place}-{kind}-{answers}");
            script.set(&id, &vec![answer.clone(); answers]);
            let (status, body) = send(node, kind, &id);
            let runs = cluster.runs().get(&id).copied().unwrap_or_default();
            let is_once = kind.starts_with("once");
            let is_right = match expected(&id) {
                Some(expected) => status == 200 && body == expected && runs >= 2,
                None => failures.contains(&status),
            };
            if !is_right || runs > if is_once { 1 } else { ATTEMPTS } || script.left(&id) > 0 {
                let text = String::from_utf8_lossy(&body);
                faults.push(format!("{id}: {status} after {runs} runs: {text:?}"));
            }
        };
        check("call", 1, &|id| Some(format!("answer to {id}").into_bytes()));
        check("call", ATTEMPTS, &|_| None);
        check("once", 1, &|_| None);
        check("stream", 1, &|id| Some(expected_stream(id)));
        check("stream", ATTEMPTS, &|_| None);
        check("once_stream", 1, &|_| None);
    }
    assert!(faults.is_empty(), "{} faults:\n{}", faults.len(), faults.join("\n"));
}

/// Makes a call or a stream and returns the status and body, 0 if the answer broke off. The call
/// before it leaves an open connection to a target.
fn send(node: SocketAddr, kind: &str, id: &str) -> (u16, Vec<u8>) {
    let mut client = Client::new(KEY, TIMEOUT);
    client.call(node, "/app/before", &format!("{id}-before"));
    let path = match kind {
        "call" => return answer_of(client.call(node, &format!("/app/{id}"), id)),
        "once" => return answer_of(client.call(node, &format!("/once/{id}"), id)),
        "stream" => SCRIPTED_STREAM,
        _ => SCRIPTED_STREAM_ONCE,
    };
    let stream = client.stream(node, &format!("{path}?{id}"), id, None);
    (if stream.is_complete { stream.status } else { 0 }, stream.body)
}

fn answer_of(outcome: Outcome) -> (u16, Vec<u8>) {
    match outcome {
        Outcome::Answer { status, body, .. } => (status, body),
        Outcome::NotSent | Outcome::Broken => (0, Vec::new()),
    }
}

/// Guards against a success that is framed as whole because an answer ended early, a repeated call
/// that may run only once, and one that may be repeated and is not.
#[test]
fn truncated_answers_are_no_success() {
    check("truncated", false);
}

/// Guards against the same where another node forwards the requests.
#[test]
fn truncated_answers_through_another_node_are_no_success() {
    check("truncated-forwarded", true);
}

/// Guards against items whose text or score comes from an answer that ended early.
#[test]
fn truncated_answers_complete_no_item() {
    let (cluster, script) = start("truncated-items", false);
    check_items("truncated", &cluster, &script, &truncated());
}

/// Guards against items whose text ends where a stream without a length was closed, which may not
/// be its end.
#[test]
fn streams_without_a_length_complete_no_item() {
    let (cluster, script) = start("without-length-items", false);
    let ids: Vec<String> = (0..8).map(|number| format!("closed-0-{number}")).collect();
    for id in &ids {
        script.set(id, &[after_an_event(End::Close)]);
    }
    finish_items("closed", &cluster, ids.len());
    assert!(ids.iter().all(|id| script.left(id) == 0), "items without their answer of the script");
}

/// Gives each of some answers to an item and to its scoring call, and checks that all items are
/// completed by later answers.
pub(crate) fn check_items(
    name: &str,
    cluster: &Cluster,
    script: &Script,
    answers: &[(String, Answer)],
) {
    for (number, (_, answer)) in answers.iter().enumerate() {
        let id = format!("{name}-0-{number}");
        script.set(&id, slice::from_ref(answer));
        if !scoring_fails(&id) {
            script.set(&scoring_call(&id), slice::from_ref(answer));
        }
    }
    let step = finish_items(name, cluster, answers.len());
    let ids = step.items.iter().flat_map(|(id, _)| [id.clone(), scoring_call(id)]);
    let unused: Vec<String> = ids.filter(|id| script.left(id) > 0).collect();
    assert_eq!(unused, Vec::<String>::new(), "requests without their answer of the script");
}

/// Runs the items of a job and checks that all are completed with their texts and scores.
fn finish_items(name: &str, cluster: &Cluster, items: usize) -> Step {
    let violations = Violations::default();
    let store = cluster.store.clone();
    let mut trainer = Trainer::new(name, cluster.addresses(), store, violations.clone());
    let mut step = trainer.submit(0, items);
    trainer.finish(&mut step);
    cluster.check_scores(&step, &violations);
    assert_eq!(violations.all(), Vec::<String>::new());
    step
}
