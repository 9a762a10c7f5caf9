use slog::{Discard, Logger, o};
use tamarackdock_platform::table::{Batch, Change};

use super::at;
use crate::crash::SuspectRequests;

fn row(request: &str, revision: u64, targets: &[&str]) -> Change {
    let value = serde_json::json!({"targets": targets}).to_string();
    Change { key: request.into(), revision, value: Some(value) }
}

fn read_rows(rows: Vec<Change>, now: u64, suspects: &mut SuspectRequests) {
    suspects.update(&Batch { changes: rows, revision: 0 }, at(now), &Logger::root(Discard, o!()));
}

/// Guards against a request that crashes one target after the other, and against
/// refusing a request whose connections broke by chance.
#[test]
fn a_request_that_broke_three_targets_is_refused_for_a_while() {
    let mut suspects = SuspectRequests::default();
    let rows = || vec![row("often", 7, &["a", "b", "c"]), row("twice", 8, &["a", "b"])];
    read_rows(rows(), 1_000, &mut suspects);
    read_rows(rows(), 2_000, &mut suspects);
    let refused = |request, now| suspects.refused_for(request, at(now)).is_some();
    assert!(refused("often", 2_000));
    assert!(!refused("twice", 2_000));
    assert!(!refused("never", 2_000));
    assert!(!refused("often", 60_000), "the refusal must end");
}

/// Guards against a refusal that ends although the request has crashed another target
/// meanwhile.
#[test]
fn a_new_crash_prolongs_the_refusal() {
    let mut suspects = SuspectRequests::default();
    read_rows(vec![row("often", 7, &["a", "b", "c"])], 0, &mut suspects);
    read_rows(vec![row("often", 9, &["a", "b", "c", "d"])], 40_000, &mut suspects);
    assert!(suspects.refused_for("often", at(60_000)).is_some());
}

/// Guards against a request that crashes as many targets again after each refusal.
#[test]
fn a_request_that_crashes_again_is_refused_for_longer() {
    let mut suspects = SuspectRequests::default();
    let mut targets = vec!["a", "b", "c"];
    let mut now = 0;
    let mut crashes = 0;
    for next in ["d", "e", "f", "g", "h", "i"] {
        read_rows(vec![row("often", crashes + 1, &targets)], now, &mut suspects);
        let refused = |now| suspects.refused_for("often", at(now)).is_some();
        // It comes again as soon as it is sent on.
        while refused(now) {
            now += 500;
        }
        assert!(!suspects.expired(at(now)).contains(&"often".to_owned()), "{now}");
        crashes += 1;
        targets.push(next);
        if now > 5 * 60 * 1000 {
            break;
        }
    }
    assert!(crashes <= 3, "{crashes} crashes in {now} ms after the third one");
}

/// Guards against an invalid row of another writer that makes all rows unreadable.
#[test]
fn an_invalid_row_is_ignored() {
    let mut suspects = SuspectRequests::default();
    let broken = Change { key: "x".into(), revision: 1, value: Some("[".into()) };
    read_rows(vec![broken, row("often", 7, &["a", "b", "c"])], 0, &mut suspects);
    assert!(suspects.refused_for("often", at(0)).is_some());
}
