use std::thread;

use serde_json::json;
use tamarackdock_types::key::Hash;

use crate::{
    caller::complete,
    support::{deployment, version, wait_until, world},
};

/// Guards against problems of a submitted file that are reported one at a time or
/// without their positions, and against an invalid configuration that becomes active.
#[test]
fn faults_of_a_configuration_come_back_as_a_list() {
    let world = world(&["d1"]);
    let base = version(&world, 0);
    let body = "{\n  \"accounts\": [{\"name\": \"A b\"}],\n  // none\n  \"target\": []\n}";
    let answer =
        world.send_operator_request(0, "POST", &format!("/config?base={base}"), body).unwrap();
    assert_eq!((answer.status, &answer.body["error"]["code"]), (400, &json!("bad_request")));
    let problems = answer.body["problems"].as_array().unwrap();
    let positions: Vec<_> =
        problems.iter().map(|p| (p["line"].clone(), p["path"].clone())).collect();
    assert_eq!(positions, [(json!(2), json!("accounts[0].name")), (json!(4), json!("target"))]);
    for problem in problems {
        assert!(problem["column"].as_u64().unwrap() > 1);
        assert!(!problem["problem"].as_str().unwrap().is_empty());
        assert!(!problem["remedy"].as_str().unwrap().is_empty());
    }
    for path in ["/config", "/config?base=x", "/config?base=1&wait_ms=-1"] {
        assert_eq!(
            world.send_operator_request(0, "POST", path, "{}").unwrap().status,
            400,
            "{path}"
        );
    }
    assert_eq!(version(&world, 0), base);
}

/// Guards against a change of a key that is lost because other keys were changed on
/// other nodes at the same time, and against an answer that lists nodes on which the
/// version is not active.
#[test]
fn concurrent_key_changes_all_take_effect() {
    let world = world(&["d1", "d2", "d3"]);
    let key = |index: usize| format!("new-{index}");
    thread::scope(|scope| {
        for index in 0..6 {
            let (world, hash) = (&world, Hash::of(key(index).as_bytes()));
            scope.spawn(move || {
                let path = format!("/accounts/shop/keys/{hash}?wait_ms=5000");
                let answer = world.send_operator_request(index % 3, "POST", &path, "").unwrap();
                assert_eq!(answer.status, 200, "{}", answer.body);
                assert_eq!(answer.body["active_on"], json!(["n0", "n1", "n2"]));
                assert_eq!(answer.body["missing"], json!([]));
                for node in world.caller_addresses() {
                    assert_eq!(complete(node, &key(index)), None);
                }
            });
        }
    });
    let accounts = deployment(&world, 0)["accounts"].as_array().unwrap().clone();
    let shop = accounts.iter().find(|account| account["name"] == "shop").unwrap();
    assert_eq!(shop["keys"].as_array().unwrap().len(), 7);
}

/// Guards against an unknown hash whose withdrawal is reported as done, against a key
/// that belongs to two accounts, and against a change that is reported as done while
/// the store is down.
#[test]
fn changes_without_effect_are_refused() {
    let world = world(&["d1", "d2"]);
    let base = version(&world, 0);
    let (own, other) = (Hash::of(b"shop-key"), Hash::of(b"other"));
    let cases = [
        ("DELETE", format!("/accounts/shop/keys/{other}"), 404),
        ("DELETE", "/accounts/shop/keys/12".into(), 400),
        ("POST", format!("/accounts/none/keys/{other}"), 404),
        ("POST", format!("/accounts/courier/keys/{own}"), 409),
        ("POST", "/data-centres/d9/out".into(), 404),
    ];
    for (method, path, status) in cases {
        assert_eq!(
            world.send_operator_request(1, method, &path, "").unwrap().status,
            status,
            "{path}"
        );
    }
    let repeated =
        world.send_operator_request(1, "POST", &format!("/accounts/shop/keys/{own}"), "").unwrap();
    assert_eq!((repeated.status, &repeated.body["version"]), (200, &json!(base)));
    world.platform.state().faults.store_down = true;
    let path = format!("/accounts/shop/keys/{own}");
    let answer = world.send_operator_request(1, "DELETE", &path, "").unwrap();
    assert_eq!((answer.status, &answer.body["error"]["ran"]), (503, &json!("no")));
    assert_eq!(answer.body["error"]["code"], "store_unavailable");
    world.platform.state().faults.store_down = false;
    wait_until("the node reaches the store", || {
        world.send_operator_request(1, "DELETE", &path, "").unwrap().status == 200
    });
}
