//! Runs the real `tamarackctl` against real nodes.

use serde_json::Value;
use standin::world::{self, World};

use crate::support::{Answer, CLOSED_ADDRESS, KEY_HASH, ctl, repeat_options, write_file};

const SEED: u64 = 0xc71;
/// Option with the seconds for which commands wait for all nodes.
const WAIT: &str = "--wait 20";

/// Starts two nodes, each in its own data centre.
pub(crate) fn world() -> World {
    println!("seed {SEED:#x}");
    let nodes = vec!["d1", "d2"];
    let engines = vec![("d1", false), ("d2", false)];
    let options = world::Options { seed: SEED, nodes, engines, ..world::Options::default() };
    World::spawn(options).unwrap()
}

/// Returns the option that names the operator port of a node.
fn node(world: &World, index: usize) -> String {
    format!("-n {}", world.nodes[index].addresses().operators)
}

fn json(line: &str) -> Value {
    let answer = ctl(&format!("{line} --json"));
    assert_eq!(answer.code, 0, "{line}: {answer:?}");
    serde_json::from_str(&answer.out).unwrap_or_else(|_| panic!("{line}: {answer:?}"))
}

/// Runs a command that changes the configuration, checks that the change is active
/// on both nodes, and returns its version.
fn change(line: &str) -> u64 {
    let accepted = json(&format!("{line} {WAIT}"));
    assert_eq!(accepted["active_on"], serde_json::json!(["n0", "n1"]), "{line}");
    assert_eq!(accepted["missing"], serde_json::json!([]), "{line}");
    assert_eq!(accepted["checksum"].as_str().unwrap().len(), 64, "{line}");
    accepted["version"].as_u64().unwrap()
}

fn is_refused(answer: &Answer, with: &str) -> bool {
    answer.code == 1 && answer.err.contains(&format!("refused with `{with}`"))
}

/// Returns a shown configuration with another weight of the first account.
fn changed(shown: &Value, weight: u64) -> String {
    let mut deployment = shown["deployment"].clone();
    deployment["accounts"][0]["weight"] = weight.into();
    deployment.to_string()
}

/// Guards against submissions and reading commands that a real node refuses, or
/// answers in a form that `tamarackctl` can't read.
#[test]
fn real_nodes_take_a_submission() {
    let world = world();
    let (first, second) = (node(&world, 0), node(&world, 1));
    let shown = json(&format!("show {first}"));
    let base = shown["version"].as_u64().unwrap();
    let path = write_file("real", &changed(&shown, 9));
    assert_eq!(json(&format!("check {path}"))["valid"], true);
    let difference = json(&format!("diff {path} {first}"));
    assert_eq!(difference["base"], base);
    assert_eq!(difference["changes"].as_array().unwrap().len(), 1, "{difference}");
    assert_eq!(change(&format!("submit {path} {first} {second}")), base + 1);
    let same = ctl(&format!("diff {path} {second}"));
    assert_eq!((same.code, same.out), (0, format!("no change against version {}\n", base + 1)));
    let text = ctl(&format!("show {second}"));
    let again = write_file("real-shown", &text.out);
    assert_eq!((text.code, ctl(&format!("check {again}")).code), (0, 0));
    assert!(text.out.starts_with(&format!("// Version {}, checksum ", base + 1)), "{text:?}");
    assert_eq!(change(&format!("roll-forward {again} {second}")), base + 2);
}

/// Guards against a repeated submission that is accepted as a second version or
/// fails, on the same node or another one. Also guards against a submission with a
/// stale base, an invalid file or a wait longer than nodes allow that is accepted.
#[test]
fn real_nodes_repeat_an_operation_and_refuse_a_conflict() {
    let world = world();
    let (first, second) = (node(&world, 0), node(&world, 1));
    let shown = json(&format!("show {first}"));
    let base = shown["version"].as_u64().unwrap();
    let path = write_file("repeated", &changed(&shown, 9));
    let submit = format!("submit {path} --base {base} --operation once");
    let version = change(&format!("{submit} {first}"));
    for node in [&first, &second] {
        assert_eq!(change(&format!("{submit} {node}")), version);
    }
    let other = write_file("conflict", &changed(&shown, 8));
    let conflict = ctl(&format!("submit {other} --base {base} {second}"));
    assert!(is_refused(&conflict, "conflict"), "{conflict:?}");
    assert!(conflict.err.contains("tamarackctl diff"), "{conflict:?}");
    let long = ctl(&format!("submit {path} {first} --wait 31"));
    assert!(long.code == 2 && long.err.contains("at most 30"), "{long:?}");
    let invalid = write_file("real-invalid", "{\"target\": []}");
    assert_eq!(ctl(&format!("submit {invalid} {first}")).code, 2);
    assert_eq!(json(&format!("show {second}"))["version"], version);
}

/// Guards against commands for keys and data centres that a real node refuses, that
/// have another effect, or that succeed without any effect.
#[test]
fn real_nodes_change_keys_and_data_centres() {
    let world = world();
    let (first, second) = (node(&world, 0), node(&world, 1));
    let base = json(&format!("show {first}"))["version"].as_u64().unwrap();
    let issue = format!("key issue shop {KEY_HASH}");
    let withdraw = format!("key withdraw shop {KEY_HASH}");
    assert_eq!(change(&format!("{issue} {first}")), base + 1);
    assert_eq!(change(&format!("{issue} {second}")), base + 1, "issued already");
    let elsewhere = ctl(&format!("key issue courier {KEY_HASH} {first}"));
    assert!(is_refused(&elsewhere, "conflict"), "{elsewhere:?}");
    assert_eq!(change(&format!("{withdraw} {second}")), base + 2);
    let again = ctl(&format!("{withdraw} {first}"));
    assert!(is_refused(&again, "not_found"), "{again:?}");
    for (state, version) in [("out", base + 3), ("in", base + 4)] {
        let line = format!("data-centre {state} d2");
        assert_eq!(change(&format!("{line} {first}")), version);
        assert_eq!(change(&format!("{line} {second}")), version, "already {state}");
        let shown = json(&format!("show {second}"));
        let centres = shown["deployment"]["data_centres"].as_array().unwrap();
        let centre = centres.iter().find(|centre| centre["name"] == "d2").unwrap();
        assert_eq!(centre["state"].as_str().unwrap_or("in"), state, "{centre}");
    }
    let unknown = ctl(&format!("data-centre out d9 {first}"));
    assert!(is_refused(&unknown, "not_found"), "{unknown:?}");
}

/// Guards against a state dump or metrics that `tamarackctl` can't read, and against
/// commands that fail because one host is down.
#[test]
fn real_nodes_show_their_state_and_metrics() {
    let world = world();
    let (first, second) = (node(&world, 0), node(&world, 1));
    let version = json(&format!("show {first}"))["version"].clone();
    assert_eq!(json(&format!("dump -n {CLOSED_ADDRESS} {second}"))["host"], "n1");
    let states = json(&format!("dump --all {first} {second}"));
    let hosts: Vec<_> = states.as_object().unwrap().values().map(|s| &s["host"]).collect();
    assert!(hosts.contains(&&"n0".into()) && hosts.contains(&&"n1".into()), "{hosts:?}");
    let partial = ctl(&format!("dump --all {first} -n {CLOSED_ADDRESS}"));
    assert!(partial.code == 1 && partial.err.contains(CLOSED_ADDRESS), "{partial:?}");
    assert_eq!(json(&format!("metrics {first}"))["tamarackdock_config_version"], version);
    let text = ctl(&format!("metrics {first}"));
    let line = format!("\ntamarackdock_config_version {version}\n");
    assert!(text.code == 0 && text.out.contains(&line), "{text:?}");
}

/// Guards against a change that is reported as active while the store is down or a
/// live node does not have it, and against a change with an unknown outcome that
/// can't be repeated.
#[test]
fn real_nodes_tell_refused_unknown_and_pending_apart() {
    let mut world = world();
    let (first, second) = (node(&world, 0), node(&world, 1));
    let shown = json(&format!("show {first}"));
    let path = write_file("outage", &changed(&shown, 9));
    let base = shown["version"].as_u64().unwrap();
    world.platform.state().faults.store_down = true;
    let down = ctl(&format!("key issue shop {KEY_HASH} {first} {second}"));
    assert!(down.code == 1 && down.err.contains("`store_unavailable`"), "{down:?}");
    let lost = ctl(&format!("submit {path} --base {base} {first}"));
    assert!(lost.code == 4 && lost.err.contains("`store_unavailable`"), "{lost:?}");
    let options = repeat_options(&lost.err);
    world.platform.state().faults.store_down = false;
    world.nodes[1].kill();
    let pending = ctl(&format!("submit {path} {options} {first} --wait 0"));
    assert_eq!(pending.code, 3, "{pending:?}");
    assert!(pending.out.contains(&format!("version {} accepted", base + 1)), "{pending:?}");
    assert!(pending.out.contains("not yet on: n1"), "{pending:?}");
}
