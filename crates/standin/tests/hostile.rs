//! Sends random bytes and mutated requests to the caller port of a running node.

#[path = "hostile/answer.rs"]
mod answer;
#[path = "hostile/input.rs"]
mod input;

use std::{
    io::{ErrorKind, Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use answer::{Answer, parse};
use input::{Input, Inputs};
use standin::{
    app::{self, App},
    world::{Options, World},
};

const SEED: u64 = 0xf022;
const SENDERS: u64 = 8;
const INPUTS: usize = 400;
/// Longest wait for an answer to an input that may be incomplete. The node may wait for
/// more of it, so a missing answer is not a failure.
const INCOMPLETE_INPUT_TIMEOUT: Duration = Duration::from_millis(30);
/// Longest wait before a test fails; the service guarantees no such time.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Sends an input and reads until an answer is complete or the time for it is up.
fn exchange(address: SocketAddr, input: &Input) -> Option<Answer> {
    let timeout = if input.is_complete { TIMEOUT } else { INCOMPLETE_INPUT_TIMEOUT };
    let mut stream = TcpStream::connect(address).unwrap();
    // This fails if the node refuses the input and closes before it has read all of it.
    let _ = stream.write_all(&input.bytes);
    let begin = Instant::now();
    let mut received = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        match parse(&received) {
            Some(answer) if answer.is_complete => return Some(answer),
            _ => {}
        }
        let left = timeout.saturating_sub(begin.elapsed()).max(Duration::from_millis(1));
        stream.set_read_timeout(Some(left)).unwrap();
        match stream.read(&mut buffer) {
            Ok(0) => panic!("closed without a complete answer: {input:?} {received:?}"),
            Ok(count) => received.extend_from_slice(&buffer[..count]),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(error) => panic!("{error} without a complete answer: {input:?} {received:?}"),
        }
        if begin.elapsed() > timeout {
            assert!(!input.is_complete, "no answer: {input:?}");
            return None;
        }
    }
}

/// Sends the inputs of one sender. Returns how many of them were answered with
/// success and how many with an error.
fn send_all(address: SocketAddr, sender: u64) -> (usize, usize) {
    let (mut successes, mut errors) = (0, 0);
    for input in Inputs::new(SEED + sender).take(INPUTS) {
        let Some(answer) = exchange(address, &input) else { continue };
        if let Err(problem) = answer.check() {
            panic!("{problem}: {input:?} {answer:?}");
        }
        if answer.status < 400 { successes += 1 } else { errors += 1 }
    }
    (successes, errors)
}

fn wait_for_answers(app: &App, count: u64) {
    let begin = Instant::now();
    while app.read(|records| records.answered) < count {
        assert!(begin.elapsed() < TIMEOUT, "the app gets no answers: {:?}", app.read(failed_calls));
        thread::sleep(Duration::from_millis(1));
    }
}

/// Describes the calls of an app that did not get the complete answer to their own
/// question.
fn failed_calls(records: &app::Records) -> String {
    let app::Records { refusals, lost_connections, wrong_text, incomplete, .. } = records;
    format!(
        "refused {refusals:?}, lost connections {lost_connections}, wrong text {wrong_text:?}, incomplete {incomplete:?}"
    )
}

/// Guards against input of one caller that ends the node, that gets an answer which
/// is neither a success nor a typed error, or that makes calls of another caller fail.
/// Eight senders send random and mutated requests while an app calls the same node.
#[test]
fn hostile_input_gets_typed_answers_and_affects_no_other_caller() {
    println!("seed {SEED:#x}");
    let options = Options { nodes: vec!["d1"], seed: SEED, ..Options::default() };
    let world = World::spawn(options).unwrap();
    let address = world.caller_addresses()[0];
    let app = App::spawn(app::Options {
        name: "shop".into(),
        key: "shop-key".into(),
        nodes: vec![address],
        questions: u64::MAX,
        callers: 4,
        pause: Duration::from_millis(5),
        ..app::Options::default()
    });
    let app = app.unwrap();
    wait_for_answers(&app, 4);
    let senders: Vec<_> =
        (0..SENDERS).map(|sender| thread::spawn(move || send_all(address, sender))).collect();
    let counts: Vec<_> = senders.into_iter().map(|sender| sender.join().unwrap()).collect();
    let answered = app.read(|records| records.answered);
    // Each caller of the app may have one call from before the last input.
    wait_for_answers(&app, answered + 8);
    println!("successes and errors of each sender {counts:?}, app answered {answered}");
    assert_eq!(app.read(failed_calls), failed_calls(&app::Records::default()));
    assert!(counts.iter().all(|(successes, errors)| *successes > 0 && *errors > 0));
    assert!(!world.nodes[0].is_finished());
    assert_eq!(world.requests_with_key(), 0, "a target saw a key");
}
