use std::time::Duration;

use assert_matches::assert_matches;

use crate::deployment::{Authorization, CallKind, Deployment, Route};

fn route(name: &str, host: &str, prefix: &str, public: bool) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: CallKind::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        services: vec![("a".into(), 90), ("b".into(), 10)],
        attempts: 2,
        item_lifetime: Duration::ZERO,
        due: Duration::ZERO,
        single_version: false,
        public,
        rank: 0,
    }
}

pub(super) fn deployment() -> Deployment {
    let mut deployment = Deployment { requires_key: true, ..Deployment::default() };
    deployment.add_route(route("short", "H.example", "/a/", false));
    deployment.add_route(route("long", "h.example", "/a/b/", false));
    deployment.add_route(route("open", "h.example", "/open/", true));
    deployment.accounts.insert("key".into(), "account".into());
    deployment
}

fn chosen(host: &str, path: &str) -> Option<String> {
    deployment().route(host, path).map(|route| route.name.to_string())
}

/// Guards against a call that gets the rules of another route, or none because of the case or
/// the port of its host name.
#[test]
fn the_longest_prefix_wins() {
    assert_eq!(chosen("h.example", "/a/x").as_deref(), Some("short"));
    assert_eq!(chosen("h.EXAMPLE:80", "/a/b/c").as_deref(), Some("long"));
    assert_eq!(chosen("h.example", "/a"), None);
    assert_eq!(chosen("other", "/a/"), None);
}

/// Guards against a call that runs without the key of a client account on a route that
/// is not public.
#[test]
fn keys_are_needed_except_on_public_routes() {
    let authorize = |path, key| deployment().authorize("h.example", path, key);
    assert_matches!(authorize("/a/", Some("key")), Authorization::Allowed { account: Some(account), .. }
        if &*account == "account");
    assert_eq!(authorize("/a/", Some("Key")), Authorization::UnknownKey);
    assert_eq!(authorize("/a/", None), Authorization::UnknownKey);
    assert_matches!(authorize("/open/", None), Authorization::Allowed { account: None, .. });
    assert_matches!(authorize("/open/", Some("key")), Authorization::Allowed { account: None, .. });
    assert_eq!(authorize("/none/", Some("key")), Authorization::NoRoute);
}

/// Guards against a batch job of a public route that nobody may read.
#[test]
fn batch_jobs_of_public_routes_belong_to_the_account_of_the_key() {
    let mut deployment = deployment();
    let jobs = Route { kind: CallKind::Batch, ..route("jobs", "h.example", "/jobs/", true) };
    deployment.add_route(jobs);
    let account = |key| match deployment.authorize("h.example", "/jobs/", key) {
        Authorization::Allowed { account, .. } => account.map(|account| account.to_string()),
        denied => panic!("{denied:?}"),
    };
    assert_eq!(account(Some("key")).as_deref(), Some("account"));
    assert_eq!([account(None), account(Some("other"))], [None, None]);
}

/// Guards against a service that gets none of its share of the calls, and against a
/// repeated call that goes to a different service.
#[test]
fn services_get_calls_by_weight() {
    let route = route("r", "h", "/", false);
    let to_b = (0..10_000)
        .filter(|id| &*crate::call::pick_service(&route, &format!("call-{id}")) == "b")
        .count();
    assert!((800..1200).contains(&to_b), "{to_b} of 10000 calls, by weight 1000");
    let again = crate::call::pick_service(&route, "call-7");
    assert_eq!(again, crate::call::pick_service(&route, "call-7"));
}
