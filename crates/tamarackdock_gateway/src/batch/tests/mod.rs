//! Tests of the decisions about batch jobs, without a network.

mod access;
mod estimate;
mod finish;
mod index;
mod job;
mod lease;
mod lifetime;
mod migrate;
mod part;
mod placement;
mod progress;
mod rows;
mod scoring;
mod share;

use std::{rc::Rc, time::Duration};

use tamarackdock_types::clock::Instant;

use super::{Item, ScoringCall, Submission, job::Job, rows::JobHead};
use crate::{
    deployment::{CallKind, Route},
    event::Event,
    http::Headers,
};

pub(super) const LIFETIME: Duration = Duration::from_mins(1);

/// Returns the route of the jobs that [`head`] describes.
pub(super) fn route() -> Route {
    Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/r/".into(),
        kind: CallKind::Batch,
        timeout: Duration::from_secs(3),
        objective: Duration::from_secs(1),
        services: vec![("llm".into(), 1)],
        attempts: 4,
        item_lifetime: LIFETIME,
        due: LIFETIME,
        single_version: false,
        public: false,
        rank: 2,
    }
}

pub(super) fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

pub(super) fn item(id: &str, group: &str, expected: u64) -> Item {
    Item {
        id: id.into(),
        path: "/r/1".into(),
        headers: Headers::default(),
        body: bytes::Bytes::new(),
        tokens: 4 * expected,
        expected_tokens: Some(expected),
        group: group.into(),
        scoring: None,
    }
}

/// Creates an item with a scoring call, whose id begins with `s-`.
pub(super) fn scored_item(id: &str, group: &str) -> Item {
    let call = ScoringCall {
        id: format!("s-{id}").as_str().into(),
        host: "h".into(),
        path: "/app/1".into(),
        body: bytes::Bytes::from_static(b"score this"),
    };
    Item { scoring: Some(call), ..item(id, group, 1) }
}

pub(super) fn head(items: usize) -> JobHead {
    JobHead {
        account: None,
        host: "h".into(),
        path: "/r/".into(),
        model: Some("m".into()),
        step: 1,
        accepted_ms: 0,
        deployment: 0,
        items,
        chunks: 1,
        work: 0,
        owner: None,
        epoch: 1,
        ended: false,
        removing: false,
        min_version: None,
        terms: None,
    }
}

/// Creates a job whose results need version 5 and whose items are aborted after 3 failures.
pub(super) fn job(items: Vec<Item>) -> Job {
    let submission =
        Submission { model: Some("m".into()), step: 1, min_version: 5, wanted_groups: 1, items };
    let head = head(submission.items.len());
    Job::new("j".into(), head, 1, Rc::new(submission), at(0), 3)
}

pub(super) fn event(id: u64, data: &str) -> Event {
    Event { raw: bytes::Bytes::new(), id: Some(id), data: data.into(), version: None }
}
