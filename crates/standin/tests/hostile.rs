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
/// Time for an answer to an input that may be incomplete. No answer by then is no fault.
const PATIENCE: Duration = Duration::from_millis(30);
/// Passing this time only fails a test.
const DEADLINE: Duration = Duration::from_secs(20);

/// Sends an input and reads until an answer is whole, the node closes or time is up.
fn exchange(address: SocketAddr, input: &Input) -> Option<Answer> {
    let limit = if input.is_complete { DEADLINE } else { PATIENCE };
    let mut stream = TcpStream::connect(address).unwrap();
    // The node may refuse and close before it has read everything.
    let _ = stream.write_all(&input.bytes);
    let begin = Instant::now();
    let mut received = Vec::new();
    let mut piece = [0; 4096];
    loop {
        match parse(&received) {
            Some(answer) if answer.is_whole => return Some(answer),
            _ => {}
        }
        let left = limit.saturating_sub(begin.elapsed()).max(Duration::from_millis(1));
        stream.set_read_timeout(Some(left)).unwrap();
        match stream.read(&mut piece) {
            Ok(0) => panic!("closed without a whole answer: {input:?} {received:?}"),
            Ok(count) => received.extend_from_slice(&piece[..count]),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(error) => panic!("{error} without a whole answer: {input:?} {received:?}"),
        }
        if begin.elapsed() > limit {
            assert!(!input.is_complete, "no answer: {input:?}");
            return None;
        }
    }
}

/// Returns how many inputs were answered with success and with an error.
fn send_all(address: SocketAddr, sender: u64) -> (usize, usize) {
    let (mut successes, mut errors) = (0, 0);
    for input in Inputs::new(SEED + sender).take(INPUTS) {
        let Some(answer) = exchange(address, &input) else { continue };
        if let Err(fault) = answer.check() {
            panic!("{fault}: {input:?} {answer:?}");
        }
        if answer.status < 400 { successes += 1 } else { errors += 1 }
    }
    (successes, errors)
}

fn wait_for_answers(app: &App, count: u64) {
    let begin = Instant::now();
    while app.read(|records| records.answered) < count {
        assert!(begin.elapsed() < DEADLINE, "the app gets no answers: {:?}", app.read(harm));
        thread::sleep(Duration::from_millis(1));
    }
}

/// Returns the calls of an app that did not get their own whole answer.
fn harm(records: &app::Records) -> String {
    let app::Records { refusals, broken, foreign, incomplete, .. } = records;
    format!("refused {refusals:?}, broken {broken}, foreign {foreign:?}, incomplete {incomplete:?}")
}

/// Guards against input of one caller that ends the node, that gets an answer
/// which is neither a success nor a typed error, or that harms another caller.
#[test]
fn hostile_input_gets_typed_answers_and_harms_nobody() {
    println!("seed {SEED:#x}");
    let options = Options { nodes: vec!["d1"], seed: SEED, ..Options::default() };
    let world = World::spawn(options).unwrap();
    let address = world.nodes()[0];
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
    assert_eq!(app.read(harm), harm(&app::Records::default()));
    assert!(counts.iter().all(|(successes, errors)| *successes > 0 && *errors > 0));
    assert!(!world.hosts[0].is_finished());
    assert_eq!(world.keys_seen(), 0, "a target saw a key");
}
