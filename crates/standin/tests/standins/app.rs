use standin::app::{App, Options, Records};

use super::{
    fake_node::{FakeNode, Fault},
    support::{run, wait_until},
};

/// Runs an app of two callers with three questions each against a fake node, and reads
/// its records.
fn ask<T>(fault: Option<Fault>, stream: bool, key: &str, read: impl FnOnce(&Records) -> T) -> T {
    run(async {
        let (address, _node) = FakeNode::spawn(fault);
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
        wait_until("the app has finished", || app.is_finished()).await;
        app.read(|records| {
            assert_eq!(records.asked, 6);
            read(records)
        })
    })
}

/// Guards against an app that counts answers to other questions, truncated answers or
/// refusals as answers to its questions.
#[test]
fn answers_are_told_apart() {
    for stream in [false, true] {
        ask(None, stream, "key", |records| {
            assert_eq!((records.answered, records.latencies.len()), (6, 6));
            assert!(records.latency(0.5) <= records.latency(1.0));
        });
        ask(Some(Fault::WrongText), stream, "key", |records| {
            assert_eq!((records.answered, records.wrong_text.len()), (0, 6));
        });
        ask(Some(Fault::Truncated), stream, "key", |records| {
            assert_eq!((records.answered, records.incomplete.len()), (0, 6));
        });
        ask(Some(Fault::Refused), stream, "key", |records| {
            assert_eq!(records.refusals[&("overloaded".into(), "no".into())], 6);
        });
        ask(None, stream, "other", |records| assert_eq!(records.answered, 0));
    }
}
