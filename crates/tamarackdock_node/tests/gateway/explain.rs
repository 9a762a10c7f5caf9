//! Explanations of real nodes, asked for by the real `tamarackctl`.

use std::{
    process::Command,
    thread,
    time::{Duration, Instant},
};

use platform_standin::{Client, Node};
use serde_json::Value;

use crate::cluster::{Cluster, KEY, Trainer, Violations};

/// Time in which a registration or the start of a job is known to a node.
const NOTICE: Duration = Duration::from_secs(10);

/// Runs `tamarackctl explain` against a node, and returns its exit code, its output and its errors.
fn explain(node: &Node, arguments: &[&str]) -> (i32, String, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_tamarackctl"))
        .args(["explain", "--gateway", &node.metrics.to_string()])
        .args(arguments)
        .output()
        .unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (output.status.code().unwrap(), text(output.stdout), text(output.stderr))
}

fn explain_json(node: &Node, arguments: &[&str]) -> Value {
    let (code, output, errors) = explain(node, &[arguments, &["--json"]].concat());
    assert_eq!(code, 0, "{errors}");
    serde_json::from_str(&output).unwrap()
}

fn ids(targets: &Value) -> Vec<&str> {
    targets.as_array().unwrap().iter().map(|target| target["id"].as_str().unwrap()).collect()
}

/// Guards against an explanation that differs from what happens to the next call, that hides a
/// target, or that sends anything to targets.
#[test]
fn a_call_goes_where_its_explanation_says() {
    let cluster = Cluster::start("explain-call", 1, 0);
    let node = &cluster.nodes[0];
    // Without further entries, which would say that it does not drain.
    cluster.services[3].deregister(&cluster.store);
    cluster.services[3].register(&cluster.store, true);
    let until = Instant::now() + NOTICE;
    let arguments = ["--host", "a.example", "--path", "/once/x"];
    loop {
        let explained = explain_json(node, &arguments);
        let service = &explained["services"][0];
        if ids(&service["left_out"]) == ["app-3"] {
            assert_eq!(service["left_out"][0]["reason"], "draining");
            assert_eq!(ids(&service["targets"]).len(), 3);
            break;
        }
        assert!(Instant::now() < until, "no target drains in {explained}");
        thread::sleep(Duration::from_millis(20));
    }
    let runs = cluster.runs();
    let explained = explain_json(node, &arguments);
    assert_eq!(cluster.runs(), runs, "an explanation was sent to targets");
    let first = ids(&explained["services"][0]["targets"])[0];
    let mut client = Client::new(KEY, Duration::from_secs(2));
    assert_eq!(client.call(node.callers, "/once/x", "explained").status(), 200);
    let ran = cluster
        .services
        .iter()
        .find(|service| service.runs().iter().any(|run| run.id == "explained"));
    assert_eq!(ran.map(|service| service.id.as_str()), Some(first));
    let (code, output, _) = explain(node, &arguments);
    assert!(code == 0 && output.contains("left out: app-3 (north): draining"), "{output}");
    for (arguments, message) in [
        (["--host", "b.example", "--path", "/once/"], "no route has the host `b.example`"),
        (["--host", "a.example", "--path", "/none/"], "matches the path `/none/`"),
    ] {
        let (code, _, errors) = explain(node, &arguments);
        assert!(code == 1 && errors.contains(message), "{code}: {errors}");
    }
}

/// Guards against a job whose items wait for no reason that an operator can see, and against a
/// node that explains the items of a job that it does not run.
#[test]
fn waiting_items_name_what_they_wait_for() {
    let cluster = Cluster::start("explain-job", 2, 0);
    cluster.engines.iter().for_each(|engine| engine.slow_down(true));
    let violations = Violations::default();
    let mut trainer =
        Trainer::new("t", cluster.addresses(), cluster.store.clone(), violations.clone());
    let step = trainer.submit(0, 200);
    let until = Instant::now() + NOTICE;
    let explained = loop {
        let of_node = |node: &Node| explain(node, &["--job", &step.job, "--json"]);
        let answers: Vec<Value> = cluster
            .nodes
            .iter()
            .filter_map(|node| serde_json::from_str(&of_node(node).1).ok())
            .collect();
        let owners = answers.iter().filter(|answer| answer["items"]["running"].as_u64() > Some(0));
        match owners.collect::<Vec<_>>()[..] {
            [owner] if answers.len() == 2 => {
                let other = answers.iter().find(|answer| answer["items"].is_null());
                assert_eq!(other.map(|other| &other["owner"]["host"]), Some(&owner["gateway"]));
                break owner.clone();
            }
            _ => {}
        }
        assert!(Instant::now() < until, "no single owner in {answers:?}");
        thread::sleep(Duration::from_millis(20));
    };
    let items = &explained["items"];
    let listed = items["listed"].as_array().unwrap();
    assert!(items["waiting"].as_u64() > Some(20) && listed.len() == 20, "{items}");
    for item in listed {
        let reason = item["waits_for"].as_str().unwrap();
        assert!(reason.starts_with("room: of 3 targets, 3 are full"), "{item}");
        assert_eq!(item["target_count"], 3, "{item}");
    }
    let (code, output, _) = explain(&cluster.nodes[0], &["--job", &step.job]);
    assert!(code == 0 && output.contains(&format!("job {}", step.job)), "{output}");
    let (code, _, errors) = explain(&cluster.nodes[0], &["--job", "never"]);
    assert!(code == 1 && errors.contains("no job `never` is known"), "{errors}");
}
