use standin::app::{App, Options, Records};

use super::{
    node::{Breach, Node},
    support::{run, until},
};

/// Runs an app of two callers with three questions each and reads its records.
fn ask<T>(breach: Option<Breach>, stream: bool, key: &str, read: impl FnOnce(&Records) -> T) -> T {
    run(async {
        let (address, _node) = Node::spawn(breach);
        let nodes = vec![address];
        let options = Options {
            key: key.into(),
            nodes,
            questions: 3,
            callers: 2,
            stream,
            ..Options::default()
        };
        let app = App::spawn(options).unwrap();
        until("the app has finished", || app.is_finished()).await;
        app.read(|records| {
            assert_eq!(records.asked, 6);
            read(records)
        })
    })
}

/// Guards against an app that counts foreign, truncated or refused answers as its own.
#[test]
fn answers_are_told_apart() {
    for stream in [false, true] {
        ask(None, stream, "key", |records| {
            assert_eq!((records.answered, records.latencies.len()), (6, 6));
            assert!(records.latency(0.5) <= records.latency(1.0));
        });
        ask(Some(Breach::Text), stream, "key", |records| {
            assert_eq!((records.answered, records.foreign.len()), (0, 6));
        });
        ask(Some(Breach::Truncated), stream, "key", |records| {
            assert_eq!((records.answered, records.incomplete.len()), (0, 6));
        });
        ask(Some(Breach::Refused), stream, "key", |records| {
            assert_eq!(records.refusals[&("overloaded".into(), "no".into())], 6);
        });
        ask(None, stream, "other", |records| assert_eq!(records.answered, 0));
    }
}
