use std::time::Duration;

use futures_util::future::join;
use serde_json::json;
use standin::engine::{Engine, Options};
use tamarackdock_types::weight::Version;
use tamarackdock_wire::{
    client::{Connection, Error, Timeouts},
    validation::Limits,
};

use super::{
    engine_calls::{HOUR, ask, endless_options, options, order_load, parse_body},
    support::{call, request, run, wait_until},
};

/// Guards against a cold engine that doesn't crash when it runs more calls than its cold
/// capacity, and against a crash of a warm engine or of one below that capacity.
#[test]
fn too_many_calls_crash_a_cold_engine() {
    run(async {
        let engine =
            Engine::spawn(Options { cold_time: HOUR, cold_capacity: 1, ..endless_options() })
                .unwrap();
        let address = engine.address();
        let prompt = json!({"prompt": "p"});
        let (one, two) = join(ask(address, "a", prompt.clone()), ask(address, "b", prompt)).await;
        assert!(one.is_err() && two.is_err());
        wait_until("connections are refused", || std::net::TcpStream::connect(address).is_err())
            .await;
        assert_eq!(engine.read(|records| (records.crashes, records.max_running_cold)), (1, 2));
        let restart_id = engine.load().restart_id;
        engine.configure(|options| options.token_interval = Duration::ZERO);
        engine.restart();
        wait_until("connections are accepted again", || {
            std::net::TcpStream::connect(address).is_ok()
        })
        .await;
        assert_ne!(engine.load().restart_id, restart_id);
        assert!(!engine.load().warm);
        assert!(ask(address, "c", json!({"prompt": "p"})).await.is_ok());
        engine.make_warm();
        let prompt = json!({"prompt": "p"});
        let (one, two) = join(ask(address, "d", prompt.clone()), ask(address, "e", prompt)).await;
        assert!(one.is_ok() && two.is_ok());
        assert_eq!(engine.read(|records| records.crashes), 1);
    });
}

/// Guards against a crash that leaves streams open or ends them as if they were
/// complete. A crash is caused by the test and by the `<crash>` marker in a prompt.
#[test]
fn crash_and_marker_break_streams() {
    run(async {
        let engine = Engine::spawn(endless_options()).unwrap();
        let body = json!({"prompt": "p", "stream": true});
        let stream = monoio::spawn(ask(engine.address(), "a", body));
        wait_until("the call runs", || engine.load().running == 1).await;
        engine.crash();
        assert_eq!(stream.await.unwrap_err(), Error::ConnectionLost);
        engine.restart();
        let address = engine.address();
        wait_until("connections are accepted again", || {
            std::net::TcpStream::connect(address).is_ok()
        })
        .await;
        let body = json!({"prompt": "a <crash> b"});
        assert_eq!(ask(address, "b", body).await.unwrap_err(), Error::ConnectionLost);
        assert_eq!(engine.read(|records| records.crashes), 2);
    });
}

/// Guards against a silence that closes connections or also affects new ones.
#[test]
fn silence_covers_existing_connections_only() {
    run(async {
        let engine = Engine::spawn(options()).unwrap();
        let open = Connection::open(engine.address(), Limits::default(), Timeouts::default());
        let mut connection = open.await.unwrap();
        let response = connection.send(request("GET", "/load", "")).await.unwrap();
        response.read_to_end().await.unwrap();
        engine.silence_existing();
        let first_byte = Duration::from_millis(200);
        connection.set_timeouts(Timeouts { first_byte, ..Timeouts::default() });
        let silent = connection.send(request("GET", "/load", "")).await.err();
        assert_eq!(silent, Some(Error::TimedOut));
        assert!(call(engine.address(), request("GET", "/load", "")).await.is_ok());
    });
}

/// Guards against load orders that skip the epoch check or apply it when it is switched
/// off, and against a failed load that changes the reported version.
#[test]
fn loads_check_epochs_and_keep_the_true_version() {
    run(async {
        let engine =
            Engine::spawn(Options { weight_load_time: Duration::ZERO, ..options() }).unwrap();
        assert_eq!(order_load(engine.address(), 5, 2).await.status, 200);
        assert_eq!(
            parse_body(&order_load(engine.address(), 4, 3).await),
            json!({"stale_epoch": 5})
        );
        engine.configure(|options| options.weight_load_failure_share = 1.0);
        assert_eq!(order_load(engine.address(), 6, 3).await.status, 500);
        assert_eq!(engine.load().weight_version, Version(2));
        engine.configure(|options| {
            options.weight_load_failure_share = 0.0;
            options.checks_epoch = false;
        });
        assert_eq!(order_load(engine.address(), 1, 3).await.status, 200);
        assert_eq!(engine.load().weight_version, Version(3));
        let accepted: Vec<_> =
            engine.read(|records| records.weight_loads.iter().map(|load| load.3).collect());
        assert_eq!(accepted, [true, false, false, true]);
    });
}

/// Guards against a refusal that doesn't say that the call did not run, or that belongs
/// to a call that did.
#[test]
fn full_queue_refuses_without_running() {
    run(async {
        let engine =
            Engine::spawn(Options { capacity: 1, max_queued: 0, ..endless_options() }).unwrap();
        let address = engine.address();
        let _running = monoio::spawn(ask(address, "a", json!({"prompt": "p"})));
        wait_until("the call runs", || engine.load().running == 1).await;
        let refused = ask(address, "b", json!({"prompt": "p"})).await.unwrap();
        assert_eq!(refused.status, 503);
        assert_eq!(refused.headers["x-not-run"], "1");
        assert_eq!(refused.headers["x-target"], "engine");
        assert!(!engine.read(|records| records.runs.contains_key("b")));
    });
}

/// Guards against a silence in the middle of a stream that closes the connection, or
/// that keeps the slot of the call although it gets no more tokens.
#[test]
fn silence_in_a_stream_keeps_the_connection_and_frees_the_slot() {
    run(async {
        let engine = Engine::spawn(Options {
            token_interval: Duration::from_millis(20),
            min_tokens: 1000,
            ..options()
        })
        .unwrap();
        let open = Connection::open(engine.address(), Limits::default(), Timeouts::default());
        let mut connection = open.await.unwrap();
        let body = r#"{"prompt":"p","max_tokens":1000,"stream":true}"#;
        let mut stream = connection.send(request("POST", "/v1/completions", body)).await.unwrap();
        stream.next().await.unwrap().unwrap();
        engine.silence_existing();
        wait_until("the slot is free", || engine.load().running == 0).await;
        let rest = async { while stream.next().await.is_ok_and(|piece| piece.is_some()) {} };
        let waited = monoio::time::timeout(Duration::from_millis(300), rest).await;
        assert!(waited.is_err(), "the stream ended or its connection was lost");
        assert_eq!(engine.read(|records| records.cancelled), 1);
    });
}
