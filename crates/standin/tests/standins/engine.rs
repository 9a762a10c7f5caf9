use std::{pin::pin, time::Duration};

use futures_util::future::{Either, join, select};
use serde_json::{Value, json};
use standin::engine::{Engine, Options, expected_text, expected_token_ids};
use tamarackdock_types::weight::Version;

use super::{
    engine_calls::{HOUR, ask, endless_options, options, order_load, parse_body, token_ids},
    support::{SEED, TIMEOUT, call, request, run, wait_until},
};

/// Guards against single and streamed answers that differ in tokens, lack fields or are
/// not counted, and against two prompts with the same answer.
#[test]
fn whole_and_streamed_answers_agree() {
    run(async {
        let engine = Engine::spawn(options()).unwrap();
        let length = options().output_tokens("why", 0).min(20);
        let answer = ask(engine.address(), "r1", json!({"prompt": "why"})).await.unwrap();
        assert_eq!(answer.headers["x-request-id"], "r1");
        let value = parse_body(&answer);
        assert_eq!(value["choices"][0]["text"], expected_text("why", length));
        assert_eq!(token_ids(&value), expected_token_ids("why", length));
        let stream = ask(engine.address(), "r2", json!({"prompt": "why", "stream": true})).await;
        let text = String::from_utf8(stream.unwrap().body.to_vec()).unwrap();
        let events: Vec<_> = text.split_terminator("\n\n").collect();
        let (done, events) = events.split_last().unwrap();
        assert_eq!(*done, "data: [DONE]");
        let parse = |event: &&str| serde_json::from_str(event.strip_prefix("data: ").unwrap());
        let events: Vec<Value> = events.iter().map(|event| parse(event).unwrap()).collect();
        assert!(events.iter().all(|event| event["weight_version"] == 1));
        let streamed: Vec<u32> = events.iter().flat_map(token_ids).collect();
        assert_eq!(streamed, expected_token_ids("why", length));
        assert_eq!(engine.read(|records| records.tokens[&("r2".into(), Version(1))]), length);
        assert_eq!(engine.read(|records| records.runs["r1"]), 1);
        assert_ne!(expected_text("why", 1), expected_text("who", 1));
    });
}

/// Guards against a resumed answer that repeats or skips tokens, and against one that
/// resumes after the tokens of another prompt.
#[test]
fn resume_continues_after_the_given_tokens() {
    run(async {
        let engine = Engine::spawn(options()).unwrap();
        let all = expected_token_ids("why", options().output_tokens("why", 0).min(20));
        let body = json!({"prompt": "why", "resume_tokens": &all[..3]});
        assert_eq!(
            token_ids(&parse_body(&ask(engine.address(), "r", body).await.unwrap())),
            all[3..]
        );
        let body = json!({"prompt": "who", "resume_tokens": &all[..3]});
        assert_eq!(ask(engine.address(), "r", body).await.unwrap().status, 400);
    });
}

/// Guards against output lengths without a heavy tail, or that don't depend on the seed.
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

/// Guards against samples that delay apps: a waiting app call must get the next slot
/// before a sample that has waited longer. Also checks that a call that is cancelled
/// while it waits or runs frees its place.
#[test]
fn app_calls_start_before_batch_calls() {
    run(async {
        let engine = Engine::spawn(Options {
            capacity: 1,
            prefill_per_block: Duration::ZERO,
            ..endless_options()
        })
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
                (pin!(running), pin!(wait_until("first runs", || engine.load().running == 1)));
            let Either::Right(((), _running)) = select(running, wait).await else {
                panic!("first ended")
            };
            let batch = send("batch", "batch");
            wait_until("batch waits", || engine.load().queued == 1).await;
            let app = send("app", "app");
            wait_until("app waits", || engine.load().queued == 2).await;
            let cancelled =
                Box::pin(ask(address, "cancelled", json!({"prompt": "p", "priority": "app"})));
            let wait =
                Box::pin(wait_until("the call to cancel waits", || engine.load().queued == 3));
            drop(select(cancelled, wait).await);
            wait_until("the cancelled call has left the queue", || engine.load().queued == 2).await;
            engine.configure(|options| options.token_interval = Duration::ZERO);
            // The end of the block drops the running call, which frees its slot.
            (batch, app)
        };
        assert!(first.0.await.is_ok() && first.1.await.is_ok());
        assert_eq!(engine.read(|records| records.started.clone()), ["first", "app", "batch"]);
        assert_eq!(engine.read(|records| records.cancelled), 1);
    });
}

/// Guards against a `GET /load` that shows changes before its lag, and against requests
/// with a key that are not counted.
#[test]
fn load_report_lags_and_keys_are_counted() {
    run(async {
        let engine = Engine::spawn(Options { report_lag: HOUR, ..endless_options() }).unwrap();
        let address = engine.address();
        let _running = monoio::spawn(ask(address, "a", json!({"prompt": "p"})));
        wait_until("the call runs", || engine.load().running == 1).await;
        let mut request = request("GET", "/load", "");
        request.headers_mut().insert("authorization", "Bearer k".parse().unwrap());
        assert_eq!(parse_body(&call(address, request).await.unwrap())["running"], 0);
        assert_eq!(engine.read(|records| records.authorized_requests), 1);
    });
}

/// Guards against a prefix cache that is not used: with a prefill of an hour per block,
/// only a prompt whose blocks are cached is answered.
#[test]
fn cached_prefixes_need_no_prefill() {
    run(async {
        let engine = Engine::spawn(options()).unwrap();
        let prompt = json!({"prompt": "p".repeat(300)});
        assert!(ask(engine.address(), "a", prompt.clone()).await.is_ok());
        engine.configure(|options| options.prefill_per_block = HOUR);
        assert!(ask(engine.address(), "b", prompt.clone()).await.is_ok());
        engine.make_cold();
        let waiting = pin!(ask(engine.address(), "c", prompt));
        let started =
            pin!(wait_until("the call runs", || engine.read(|r| r.runs.contains_key("c"))));
        assert!(matches!(select(waiting, started).await, Either::Right(_)));
    });
}

/// Guards against answers that hide a change of weights: a load during a call must show
/// in the spans of the answer and in the counts of the engine.
#[test]
fn load_during_a_call_shows_in_its_spans() {
    run(async {
        let interval = Duration::from_millis(20);
        let options =
            Options { token_interval: interval, weight_load_time: interval * 3, ..options() };
        let length = options.output_tokens("why", 0).min(20);
        let engine = Engine::spawn(options).unwrap();
        let begin = std::time::Instant::now();
        // On a busy host a load can come after the end of the call; it is then repeated.
        for version in 2.. {
            assert!(begin.elapsed() < TIMEOUT, "no load happened during a call");
            let id = format!("r{version}");
            let answer = ask(engine.address(), &id, json!({"prompt": "why"}));
            let (answer, loaded) = join(answer, order_load(engine.address(), 1, version)).await;
            assert_eq!(loaded.status, 200);
            let value = parse_body(&answer.unwrap());
            let spans = value["spans"].as_array().unwrap();
            let tokens = spans.iter().map(|span| span["tokens"].as_u64().unwrap());
            assert_eq!(tokens.sum::<u64>(), length);
            if let [old, new] = &spans[..] {
                assert_eq!(
                    (&old["weight_version"], &new["weight_version"]),
                    (&json!(version - 1), &json!(version))
                );
                let count = |version| engine.read(|records| records.tokens[&(id.clone(), version)]);
                assert_eq!(json!(count(Version(version - 1))), old["tokens"]);
                assert_eq!(json!(count(Version(version))), new["tokens"]);
                break;
            }
        }
    });
}
