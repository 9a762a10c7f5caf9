use std::time::Duration;

use super::{LIFETIME, head, route};
use crate::{
    batch::{
        lifetime::{Expiry, JobRoute},
        rows::JobHead,
    },
    deployment::Deployment,
};

fn deployment(version: u64, has_route: bool) -> Deployment {
    let mut deployment = Deployment { version, ..Deployment::default() };
    if has_route {
        deployment.add_route(route());
    }
    deployment
}

/// Returns what a node with a configuration does with a job that was accepted under version 7.
fn expiry(version: u64, has_route: bool, age: Duration) -> Option<Expiry> {
    let head = JobHead { deployment: 7, ..head(1) };
    JobRoute::of(&head, &deployment(version, has_route)).expiry(age)
}

/// Guards against items that are given up by a configuration older than their job.
#[test]
fn an_older_configuration_gives_up_no_items() {
    let old = Duration::from_hours(1);
    for (version, has_route) in [(0, false), (6, false), (6, true)] {
        assert_eq!(expiry(version, has_route, old), None);
    }
    for version in [7, 8] {
        assert_eq!(expiry(version, false, Duration::ZERO), Some(Expiry::RouteGone));
        assert_eq!(expiry(version, true, LIFETIME), None);
        assert_eq!(expiry(version, true, old), Some(Expiry::LifetimeOver));
    }
}

/// Guards against items that are given up early because the store's answers were late when their
/// job was accepted.
#[test]
fn late_answers_of_the_store_shorten_no_lifetime() {
    let longest_answer = Duration::from_millis(900);
    assert_eq!(expiry(7, true, LIFETIME + longest_answer), None);
    assert!(expiry(7, true, LIFETIME + 2 * longest_answer).is_some());
}

/// Guards against items that are aborted after their first failure because their route is not
/// known yet.
#[test]
fn failures_are_counted_by_a_known_route_only() {
    let max_failures = |version, has_route| {
        let head = JobHead { deployment: 7, ..head(1) };
        JobRoute::of(&head, &deployment(version, has_route)).max_failures()
    };
    assert_eq!(max_failures(0, false), u32::MAX);
    assert_eq!(max_failures(6, true), u32::MAX);
    assert_eq!(max_failures(7, true), 4);
}
