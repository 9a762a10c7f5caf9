//! What is done about old jobs.

use std::time::Duration;

use crate::{batch::rows::JobHead, duty::clear::Action};

const KEEP: Duration = Duration::from_secs(100);

fn head(accepted_ms: i64, ended: bool, removing: bool) -> JobHead {
    JobHead {
        account: None,
        host: "h".into(),
        path: "/r/".into(),
        model: None,
        step: 1,
        deployment: 0,
        accepted_ms,
        items: 1,
        chunks: 1,
        work: 0,
        owner: None,
        epoch: 1,
        ended,
        removing,
        terms: None,
        min_version: None,
    }
}

/// Guards against jobs that are removed before they have ended or grown old, and against removals
/// that broke off and are never finished.
#[test]
fn only_old_jobs_that_have_ended_are_removed() {
    let action = |accepted_ms, ended, removing, earliest_ms| {
        Action::of(&head(accepted_ms, ended, removing), earliest_ms, KEEP)
    };
    assert_eq!(action(1_000, true, false, Some(101_000)), Action::Keep);
    assert_eq!(action(1_000, true, false, Some(101_001)), Action::Mark);
    assert_eq!(action(1_000, false, false, Some(900_000)), Action::Keep);
    // The store's time is not known, or its clock was started again.
    assert_eq!(action(1_000, true, false, None), Action::Keep);
    assert_eq!(action(200_000, true, false, Some(1_000)), Action::Keep);
    assert_eq!(action(1_000, true, true, None), Action::Remove);
    // It has no time of acceptance.
    assert_eq!(action(0, true, false, Some(900_000)), Action::Date);
    assert_eq!(action(0, false, false, Some(900_000)), Action::Date);
}
