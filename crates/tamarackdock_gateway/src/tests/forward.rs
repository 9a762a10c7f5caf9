use std::collections::BTreeSet;

use tamarackdock_path::Refusal;

use super::{deployment::deployment, registration};
use crate::{
    codec,
    deployment::{Deployment, Name, Route},
    forward::{
        ForwardedRequest,
        admission::{Knowledge, capacity},
    },
    http::Headers,
    path::Permission,
    server::FORWARDING_BYTES,
    target::Registration,
};

fn request(permission: Permission) -> ForwardedRequest {
    let mut headers = Headers::default();
    headers.push("Host", "h.example");
    headers.push("Account", "account");
    ForwardedRequest {
        target: "t".into(),
        method: "POST".into(),
        path: "/a/x?y".into(),
        headers,
        body: Vec::new(),
        permission,
        job_route: None,
        sent_ms: 0,
        give_up_ms: 1_000,
        can_repeat: true,
    }
}

fn by_key() -> ForwardedRequest {
    request(Permission::Key(Some("key".into())))
}

fn target() -> Registration {
    Registration { service: "a".into(), ..registration("t", "x") }
}

fn knowledge<'a>(
    deployment: &'a Deployment,
    evacuated: &'a BTreeSet<Name>,
    target: &'a Registration,
) -> Knowledge<'a> {
    Knowledge {
        paths_lost: false,
        forwarding: 0,
        cores: 0.5,
        is_leaving: false,
        age_ms: Some(3),
        target: Some(target),
        evacuated,
        deployment,
        allows_keys: true,
        account_field: "Account",
    }
}

/// Guards against requests that a node sends on for another one although it knows that they must
/// not run: the target leaves, its data centre is evacuated, the key is withdrawn or can't be
/// proved, the route is gone, or the request has waited in a paused process.
#[test]
fn a_node_forwards_nothing_that_it_knows_must_not_run() {
    let (deployment, none) = (deployment(), BTreeSet::new());
    let evacuated = BTreeSet::from(["x".into()]);
    let (ready, draining) = (target(), Registration { draining: true, ..target() });
    let all = || knowledge(&deployment, &none, &ready);
    let without_keys = Deployment { accounts: [].into(), ..deployment.clone() };
    let without_routes = Deployment { routes: [].into(), ..deployment.clone() };
    let other_service = Registration { service: "c".into(), ..target() };
    let cases = [
        Knowledge { target: Some(&draining), ..all() },
        Knowledge { target: None, ..all() },
        Knowledge { evacuated: &evacuated, ..all() },
        Knowledge { deployment: &without_keys, ..all() },
        Knowledge { deployment: &without_routes, ..all() },
        Knowledge { allows_keys: false, ..all() },
        Knowledge { target: Some(&other_service), ..all() },
        Knowledge { age_ms: Some(401), ..all() },
        Knowledge { age_ms: None, ..all() },
        Knowledge { is_leaving: true, ..all() },
    ];
    for knowledge in cases {
        let refused = knowledge.admit(&by_key()).map(|_| ()).map_err(|(refusal, _)| refusal);
        assert_eq!(refused, Err(Refusal::Declined));
    }
    assert!(all().admit(&by_key()).is_ok());
    let mut other_account = by_key();
    other_account.headers.remove("Account");
    other_account.headers.push("Account", "other");
    assert!(all().admit(&other_account).is_err());
}

/// Guards against items that stop because no key comes with them, or because this node has no
/// proof of the keys.
#[test]
fn items_of_accepted_jobs_need_no_key() {
    let (deployment, none, target) = (deployment(), BTreeSet::new(), target());
    let knowledge = Knowledge { allows_keys: false, ..knowledge(&deployment, &none, &target) };
    assert!(knowledge.admit(&request(Permission::Job)).is_ok());
}

/// Guards against items that other nodes don't forward because a route that was added later leads
/// to their paths, and against items of a route that now leads elsewhere.
#[test]
fn items_are_forwarded_by_the_route_of_their_job() {
    let (mut deployment, none, target) = (deployment(), BTreeSet::new(), target());
    let job_route = deployment.route("h.example", "/a/x").unwrap();
    let item =
        ForwardedRequest { job_route: Some(job_route.prefix.clone()), ..request(Permission::Job) };
    let added = Route {
        prefix: format!("{}x", job_route.prefix),
        services: vec![("other".into(), 1)],
        ..Route::clone(&job_route)
    };
    deployment.add_route(added.clone());
    assert!(knowledge(&deployment, &none, &target).admit(&item).is_ok());
    let added_only = Deployment { routes: [].into(), ..deployment.clone() };
    let moved = Route { prefix: job_route.prefix.clone(), ..added };
    let mut moved_only = added_only.clone();
    moved_only.add_route(moved);
    for deployment in [&added_only, &moved_only] {
        assert!(knowledge(deployment, &none, &target).admit(&item).is_err());
    }
}

/// Guards against a node that forwards for so many others that its own work stops, and against
/// requests that go round between nodes without paths.
#[test]
fn a_node_forwards_what_it_can_bear() {
    let (deployment, none, target) = (deployment(), BTreeSet::new(), target());
    let all = || knowledge(&deployment, &none, &target);
    let refusal = |knowledge: Knowledge<'_>| knowledge.admit(&by_key()).unwrap_err().0;
    assert_eq!(refusal(Knowledge { forwarding: capacity(0.5), ..all() }), Refusal::Full);
    assert_eq!(refusal(Knowledge { paths_lost: true, ..all() }), Refusal::Lost);
    assert_eq!([0.0, 0.12, 0.5, 1.0].map(capacity), [8, 26, 83, 158]);
}

/// Guards against a request that is too large for the node that forwards it because of its
/// encoding: that node allows for a client's largest body and some more.
#[test]
fn the_encoding_adds_little_to_a_body() {
    let body = vec![0xff; 1024 * 1024];
    let request = ForwardedRequest { body: body.clone(), ..by_key() };
    let encoded = codec::encode(&request).unwrap();
    assert!(encoded.len() < body.len() + FORWARDING_BYTES, "{} bytes", encoded.len());
    assert_eq!(codec::decode::<ForwardedRequest>(&encoded).unwrap(), request);
}
