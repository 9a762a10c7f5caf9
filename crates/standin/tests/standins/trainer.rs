use std::{net::SocketAddr, time::Duration};

use assert_matches::assert_matches;
use standin::trainer::{Options, Trainer, Violation, WeightVersions};
use tamarackdock_types::weight::Version;

use super::{
    fake_node::{FakeNode, Fault, UNKNOWN_INDEX},
    support::{SEED, run, wait_until},
};

fn options(address: SocketAddr) -> Options {
    Options {
        key: "key".into(),
        nodes: vec![address],
        seed: SEED,
        groups: 2,
        group_size: 2,
        retry_pause: Duration::from_millis(1),
        reread_percent: 0,
        ..Options::default()
    }
}

async fn finish(options: Options) -> Trainer {
    let trainer = Trainer::spawn(options, WeightVersions::new(Version(5))).unwrap();
    wait_until("the trainer has finished", || trainer.is_finished()).await;
    trainer
}

/// Guards against a trainer that skips a page whose response was lost. It must read
/// again from the same cursor and count each slot once.
#[test]
fn lost_reads_repeat_their_cursor() {
    run(async {
        let (address, node) = FakeNode::spawn(None);
        node.lose_reads.set(2);
        let compute_time = Duration::from_millis(20);
        let trainer = finish(Options { steps: 2, compute_time, ..options(address) }).await;
        assert_eq!(*node.cursors.borrow(), [0, 0, 0, 3, 0, 3]);
        assert_eq!(node.acknowledged.get(), 4);
        trainer.read(|records| {
            assert_eq!((records.steps, records.samples, records.tokens), (2, 8, 32));
            assert_eq!((records.repeated_reads, records.lost_responses), (2, 2));
            assert_eq!(records.violations, []);
            assert_eq!(
                (records.step_wait_times.len(), records.compute_time),
                (2, compute_time * 2)
            );
            assert!(records.idle_share() > 0.0 && records.idle_share() < 1.0);
        });
    });
}

/// Guards against a trainer that doesn't notice a faulty sample. The node has one fault
/// at a time, and the trainer must report the violation that belongs to it.
#[test]
fn each_fault_is_reported_as_its_violation() {
    let find_violations = |fault, reread_percent| {
        run(async {
            let (address, _node) = FakeNode::spawn(Some(fault));
            let trainer = finish(Options { reread_percent, ..options(address) }).await;
            trainer.read(|records| records.violations.clone())
        })
    };
    let first_slot = (1, 0, 0);
    let is_first_slot = |step, group, index| (step, group, index) == first_slot;
    assert_matches!(find_violations(Fault::UnknownSlot, 0)[..],
        [Violation::UnknownSlot { step: 1, group: 0, index }, Violation::WrongText { .. }, Violation::Missing { missing: 1, .. }]
            if index as u64 == UNKNOWN_INDEX);
    assert_matches!(find_violations(Fault::WrongText, 0)[..],
        [Violation::WrongText { step, group, index }] if is_first_slot(step, group, index));
    assert_matches!(find_violations(Fault::ShortSpan, 0)[..],
        [Violation::InvalidSpans { step, group, index }] if is_first_slot(step, group, index));
    assert_matches!(find_violations(Fault::FutureVersion, 0)[..],
        [Violation::InvalidSpans { step, group, index }] if is_first_slot(step, group, index));
    assert_matches!(find_violations(Fault::Stale, 0)[..],
        [Violation::Stale { step, group, index, lag: 2 }] if is_first_slot(step, group, index));
    assert_matches!(find_violations(Fault::Duplicate, 0)[..],
        [Violation::Duplicate { step, group, index }] if is_first_slot(step, group, index));
    assert_matches!(
        find_violations(Fault::Missing, 0)[..],
        [Violation::Missing { missing: 1, .. }]
    );
    let changed = find_violations(Fault::ChangedPage, 100);
    assert!(changed.contains(&Violation::ChangedPage { step: 1, cursor: 0 }), "{changed:?}");
    assert_eq!(find_violations(Fault::Truncated, 100), []);
}
