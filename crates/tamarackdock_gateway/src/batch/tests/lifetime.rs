use std::time::Duration;

use super::{LIFETIME, head, route};
use crate::{
    batch::{
        lifetime::{self, Expiry, JobRoute},
        rows::{JobHead, Terms},
    },
    deployment::{CallKind, Deployment, Route},
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

/// Returns the head of a job that was accepted under version 7 on the usual route.
fn accepted_head() -> JobHead {
    JobHead { deployment: 7, terms: Some(Terms::of(&route())), path: "/r/x/job".into(), ..head(1) }
}

fn with_routes(routes: &[Route]) -> Deployment {
    let mut deployment = Deployment { version: 8, ..Deployment::default() };
    for route in routes {
        deployment.add_route(route.clone());
    }
    deployment
}

/// Returns a route for calls, which has no lifetime of items.
fn calls_below(prefix: &str) -> Route {
    Route {
        prefix: prefix.into(),
        kind: CallKind::Idempotent,
        services: vec![("app".into(), 1)],
        item_lifetime: Duration::ZERO,
        due: Duration::ZERO,
        ..route()
    }
}

/// Guards against items of open jobs that are given up, or run elsewhere, because a route was
/// added, moved, split, changed in kind or made to allow less.
#[test]
fn later_configurations_take_nothing_back_from_open_jobs() {
    let moved = Route { services: vec![("llm-2".into(), 1)], ..route() };
    let split = Route { prefix: "/r/x/".into(), ..route() };
    let shorter = Route { item_lifetime: Duration::from_secs(1), ..route() };
    let changes = [
        ("added", vec![route(), calls_below("/r/x/")], "llm"),
        (
            "added for jobs",
            vec![route(), Route { services: moved.services.clone(), ..split.clone() }],
            "llm",
        ),
        ("moved", vec![moved], "llm-2"),
        ("split", vec![split], "llm"),
        ("changed in kind", vec![calls_below("/r/")], "app"),
        (
            "changed in kind after one was added",
            vec![calls_below("/r/"), calls_below("/r/x/")],
            "app",
        ),
        ("with a shorter lifetime", vec![shorter], "llm"),
    ];
    for (change, routes, service) in changes {
        let deployment = with_routes(&routes);
        let found = lifetime::route(&accepted_head(), &deployment).expect(change);
        assert_eq!((&*found.services[0].0, found.item_lifetime), (service, LIFETIME), "{change}");
        assert_eq!(JobRoute::of(&accepted_head(), &deployment).expiry(LIFETIME), None, "{change}");
    }
    let removed = with_routes(&[calls_below("/r/x/"), calls_below("/")]);
    let expiry = JobRoute::of(&accepted_head(), &removed).expiry(Duration::ZERO);
    assert_eq!(expiry, Some(Expiry::RouteGone));
}

/// Guards against the same for jobs that an earlier release accepted, or whose head one has
/// written again, as far as the head says.
#[test]
fn jobs_without_terms_have_a_route_for_jobs() {
    let head = JobHead { terms: None, ..accepted_head() };
    let found = lifetime::route(&head, &with_routes(&[route(), calls_below("/r/x/")]));
    assert_eq!(found.map(|route| route.prefix.clone()), Some("/r/".to_owned()));
    assert!(lifetime::route(&head, &with_routes(&[calls_below("/r/")])).is_none());
}

/// Guards against results of several versions on a route that allowed one when the job was
/// accepted, or allows one now.
#[test]
fn a_single_version_is_kept_to_if_any_configuration_asks_for_it() {
    let single = Route { single_version: true, ..route() };
    for (accepted, now) in [(&single, route()), (&route(), single.clone())] {
        let head = JobHead { terms: Some(Terms::of(accepted)), ..accepted_head() };
        let found = lifetime::route(&head, &with_routes(&[now]));
        assert_eq!(found.map(|route| route.single_version), Some(true));
    }
}
