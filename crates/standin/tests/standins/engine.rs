use std::{net::SocketAddr, pin::pin, time::Duration};

use futures_util::future::{Either, join, select};
use serde_json::{Value, json};
use standin::engine::{Engine, Options, expected_text, expected_token_ids};
use tamarackdock_types::weight::Version;
use tamarackdock_wire::{
    client::{Connection, Deadlines, Error, Whole},
    guard::Limits,
};

use super::support::{SEED, call, request, run, until};

const HOUR: Duration = Duration::from_hours(1);

fn options() -> Options {
    Options { seed: SEED, token_interval: Duration::from_micros(100), ..Options::default() }
}

/// Options of an engine whose calls never end by themselves.
fn endless() -> Options {
    Options { token_interval: HOUR, ..options() }
}

async fn ask(address: SocketAddr, id: &str, mut body: Value) -> Result<Whole, Error> {
    body["model"] = json!("m");
    body["max_tokens"] = json!(20);
    let mut request = request("POST", "/v1/completions", &body.to_string());
    request.headers_mut().insert("x-request-id", id.parse().unwrap());
    call(address, request).await
}

fn json(whole: &Whole) -> Value {
    serde_json::from_slice(&whole.body).unwrap()
}

fn ids(value: &Value) -> Vec<u32> {
    serde_json::from_value(value["token_ids"].clone()).unwrap()
}

async fn load(address: SocketAddr, epoch: u64, version: u64) -> Whole {
    let body = json!({"operation": "op", "epoch": epoch, "service": "m", "version": version});
    call(address, request("POST", "/orders/load", &body.to_string())).await.unwrap()
}

/// Guards against answers that a caller can't tell apart, and against lost
/// fields or counts of whole and streamed answers.
#[test]
fn whole_and_streamed_answers_agree() {
    run(async {
        let engine = Engine::spawn(options()).unwrap();
        let length = options().output_tokens("why", 0).min(20);
        let whole = ask(engine.address(), "r1", json!({"prompt": "why"})).await.unwrap();
        assert_eq!(whole.headers["x-request-id"], "r1");
        let value = json(&whole);
        assert_eq!(value["choices"][0]["text"], expected_text("why", length));
        assert_eq!(ids(&value), expected_token_ids("why", length));
        let stream = ask(engine.address(), "r2", json!({"prompt": "why", "stream": true})).await;
        let text = String::from_utf8(stream.unwrap().body.to_vec()).unwrap();
        let events: Vec<_> = text.split_terminator("\n\n").collect();
        let (done, events) = events.split_last().unwrap();
        assert_eq!(*done, "data: [DONE]");
        let parse = |event: &&str| serde_json::from_str(event.strip_prefix("data: ").unwrap());
        let events: Vec<Value> = events.iter().map(|event| parse(event).unwrap()).collect();
        assert!(events.iter().all(|event| event["weight_version"] == 1));
        let streamed: Vec<u32> = events.iter().flat_map(ids).collect();
        assert_eq!(streamed, expected_token_ids("why", length));
        assert_eq!(engine.read(|records| records.tokens[&("r2".into(), Version(1))]), length);
        assert_eq!(engine.read(|records| records.runs["r1"]), 1);
        assert_ne!(expected_text("why", 1), expected_text("who", 1));
    });
}

/// Guards against a resumed answer that repeats or skips tokens, and against
/// resuming with the tokens of another prompt.
#[test]
fn resume_continues_after_the_given_tokens() {
    run(async {
        let engine = Engine::spawn(options()).unwrap();
        let all = expected_token_ids("why", options().output_tokens("why", 0).min(20));
        let body = json!({"prompt": "why", "resume_tokens": &all[..3]});
        assert_eq!(ids(&json(&ask(engine.address(), "r", body).await.unwrap())), all[3..]);
        let body = json!({"prompt": "who", "resume_tokens": &all[..3]});
        assert_eq!(ask(engine.address(), "r", body).await.unwrap().status, 400);
    });
}

/// Guards against output lengths without long stragglers or without a seed.
#[test]
fn output_lengths_are_heavy_tailed() {
    println!("seed {SEED:#x}");
    let lengths = |seed| {
        let options = Options { seed, ..options() };
        let mut lengths: Vec<_> = (0..2000).map(|call| options.output_tokens("p", call)).collect();
        lengths.sort_unstable();
        lengths
    };
    let sorted = lengths(SEED);
    assert_eq!(sorted, lengths(SEED));
    assert_ne!(sorted, lengths(SEED + 1));
    // A Pareto distribution with exponent 1.2 has a 99th percentile 26 times its median.
    assert!(sorted[1980] > 10 * sorted[1000], "{} and {}", sorted[1980], sorted[1000]);
}

/// Guards against samples that delay apps: a waiting app call must get the
/// next slot before a sample that waits longer. Also shows that a call that
/// is cancelled while it waits or runs frees its place.
#[test]
fn app_calls_start_before_batch_calls() {
    run(async {
        let engine =
            Engine::spawn(Options { capacity: 1, prefill_per_block: Duration::ZERO, ..endless() })
                .unwrap();
        let address = engine.address();
        let send = |id: &'static str, priority: &'static str| {
            monoio::spawn(async move {
                ask(address, id, json!({"prompt": "p", "priority": priority})).await
            })
        };
        let first = {
            let running = ask(address, "first", json!({"prompt": "p", "stream": true}));
            let (running, wait) =
                (pin!(running), pin!(until("first runs", || engine.load().running == 1)));
            let Either::Right(((), _running)) = select(running, wait).await else {
                panic!("first ended")
            };
            let batch = send("batch", "batch");
            until("batch waits", || engine.load().queued == 1).await;
            let app = send("app", "app");
            until("app waits", || engine.load().queued == 2).await;
            let gone = Box::pin(ask(address, "gone", json!({"prompt": "p", "priority": "app"})));
            let wait = Box::pin(until("gone waits", || engine.load().queued == 3));
            drop(select(gone, wait).await);
            until("gone has left", || engine.load().queued == 2).await;
            engine.configure(|options| options.token_interval = Duration::ZERO);
            // The block's end drops the call in progress, which frees its slot.
            (batch, app)
        };
        assert!(first.0.await.is_ok() && first.1.await.is_ok());
        assert_eq!(engine.read(|records| records.started.clone()), ["first", "app", "batch"]);
        assert_eq!(engine.read(|records| records.cancelled), 1);
    });
}

/// Guards against a cold engine that survives more calls than it can handle,
/// and against a warm or lightly loaded one that crashes.
#[test]
fn too_many_calls_crash_a_cold_engine() {
    run(async {
        let engine =
            Engine::spawn(Options { cold_time: HOUR, cold_capacity: 1, ..endless() }).unwrap();
        let address = engine.address();
        let prompt = json!({"prompt": "p"});
        let (one, two) = join(ask(address, "a", prompt.clone()), ask(address, "b", prompt)).await;
        assert!(one.is_err() && two.is_err());
        until("refused", || std::net::TcpStream::connect(address).is_err()).await;
        assert_eq!(engine.read(|records| (records.crashes, records.max_running_cold)), (1, 2));
        let restart_id = engine.load().restart_id;
        engine.configure(|options| options.token_interval = Duration::ZERO);
        engine.restart();
        until("back", || std::net::TcpStream::connect(address).is_ok()).await;
        assert_ne!(engine.load().restart_id, restart_id);
        assert!(!engine.load().warm);
        assert!(ask(address, "c", json!({"prompt": "p"})).await.is_ok());
        engine.warm();
        let prompt = json!({"prompt": "p"});
        let (one, two) = join(ask(address, "d", prompt.clone()), ask(address, "e", prompt)).await;
        assert!(one.is_ok() && two.is_ok());
        assert_eq!(engine.read(|records| records.crashes), 1);
    });
}

/// Guards against a crash that leaves streams open or passes them as whole.
#[test]
fn crash_and_marker_break_streams() {
    run(async {
        let engine = Engine::spawn(endless()).unwrap();
        let body = json!({"prompt": "p", "stream": true});
        let stream = monoio::spawn(ask(engine.address(), "a", body));
        until("the call runs", || engine.load().running == 1).await;
        engine.crash();
        assert_eq!(stream.await.unwrap_err(), Error::Broken);
        engine.restart();
        let address = engine.address();
        until("back", || std::net::TcpStream::connect(address).is_ok()).await;
        let body = json!({"prompt": "a <crash> b"});
        assert_eq!(ask(address, "b", body).await.unwrap_err(), Error::Broken);
        assert_eq!(engine.read(|records| records.crashes), 2);
    });
}

/// Guards against a silence that closes connections or covers new ones.
#[test]
fn silence_covers_existing_connections_only() {
    run(async {
        let engine = Engine::spawn(options()).unwrap();
        let open = Connection::open(engine.address(), Limits::default(), Deadlines::default());
        let mut connection = open.await.unwrap();
        let answer = connection.send(request("GET", "/load", "")).await.unwrap();
        answer.whole().await.unwrap();
        engine.silence_existing();
        let first_byte = Duration::from_millis(200);
        connection.set_deadlines(Deadlines { first_byte, ..Deadlines::default() });
        let silent = connection.send(request("GET", "/load", "")).await.err();
        assert_eq!(silent, Some(Error::Silent));
        assert!(call(engine.address(), request("GET", "/load", "")).await.is_ok());
    });
}

/// Guards against load orders that skip the epoch check, fail without
/// keeping the true version, or check when switched off.
#[test]
fn loads_check_epochs_and_keep_the_true_version() {
    run(async {
        let engine = Engine::spawn(Options { load_time: Duration::ZERO, ..options() }).unwrap();
        assert_eq!(load(engine.address(), 5, 2).await.status, 200);
        assert_eq!(json(&load(engine.address(), 4, 3).await), json!({"stale_epoch": 5}));
        engine.configure(|options| options.load_failure_share = 1.0);
        assert_eq!(load(engine.address(), 6, 3).await.status, 500);
        assert_eq!(engine.load().weight_version, Version(2));
        engine.configure(|options| {
            options.load_failure_share = 0.0;
            options.checks_epoch = false;
        });
        assert_eq!(load(engine.address(), 1, 3).await.status, 200);
        assert_eq!(engine.load().weight_version, Version(3));
        let accepted: Vec<_> =
            engine.read(|records| records.loads.iter().map(|load| load.3).collect());
        assert_eq!(accepted, [true, false, false, true]);
    });
}

/// Guards against a `GET /load` without lag, and against lost counts of keys
/// that reach a target.
#[test]
fn load_report_lags_and_keys_are_counted() {
    run(async {
        let engine = Engine::spawn(Options { report_lag: HOUR, ..endless() }).unwrap();
        let address = engine.address();
        let _running = monoio::spawn(ask(address, "a", json!({"prompt": "p"})));
        until("the call runs", || engine.load().running == 1).await;
        let mut request = request("GET", "/load", "");
        request.headers_mut().insert("authorization", "Bearer k".parse().unwrap());
        assert_eq!(json(&call(address, request).await.unwrap())["running"], 0);
        assert_eq!(engine.read(|records| records.authorized_requests), 1);
    });
}

/// Guards against a refusal that does not say that the call was not run, or
/// that comes from a call that was.
#[test]
fn full_queue_refuses_without_running() {
    run(async {
        let engine = Engine::spawn(Options { capacity: 1, queue: 0, ..endless() }).unwrap();
        let address = engine.address();
        let _running = monoio::spawn(ask(address, "a", json!({"prompt": "p"})));
        until("the call runs", || engine.load().running == 1).await;
        let refused = ask(address, "b", json!({"prompt": "p"})).await.unwrap();
        assert_eq!(refused.status, 503);
        assert_eq!(refused.headers["x-not-run"], "1");
        assert_eq!(refused.headers["x-target"], "engine");
        assert!(!engine.read(|records| records.runs.contains_key("b")));
    });
}

/// Guards against a cache that is not used: with an endless prefill, only a
/// prompt whose blocks are cached is answered.
#[test]
fn cached_prefixes_need_no_prefill() {
    run(async {
        let engine = Engine::spawn(options()).unwrap();
        let prompt = json!({"prompt": "p".repeat(300)});
        assert!(ask(engine.address(), "a", prompt.clone()).await.is_ok());
        engine.configure(|options| options.prefill_per_block = HOUR);
        assert!(ask(engine.address(), "b", prompt.clone()).await.is_ok());
        engine.reset();
        let waiting = pin!(ask(engine.address(), "c", prompt));
        let started = pin!(until("the call runs", || engine.read(|r| r.runs.contains_key("c"))));
        assert!(matches!(select(waiting, started).await, Either::Right(_)));
    });
}
