//! Runs the real `tamarackctl` against real nodes, and against a small fake of the
//! operator port that loses answers.

#[path = "ctl/fake.rs"]
mod fake;
#[path = "ctl/nodes.rs"]
mod nodes;
#[path = "ctl/pages.rs"]
mod pages;
#[path = "ctl/support.rs"]
mod support;

use fake::{FakeNode, FakeStore, Fault};
use serde_json::Value;
use support::{
    CLOSED_ADDRESS, DEPLOYMENT, KEY_HASH, ctl, ctl_with, ctl_without_output, repeat_options,
    write_file,
};

/// Guards against a command that fails, that prints invalid JSON, or whose help is
/// missing.
#[test]
fn every_command_prints_and_exits_0() {
    let fake = FakeNode::spawn(&FakeStore::shared());
    let node = fake.node();
    let path = write_file("every", DEPLOYMENT);
    for line in [
        "check PATH",
        "submit PATH -n NODE --wait 1",
        "diff PATH -n NODE",
        "show -n NODE",
        "roll-forward PATH -n NODE",
        "key issue shop HASH -n NODE",
        "key withdraw shop HASH -n NODE",
        "data-centre out d1 -n NODE",
        "data-centre in d1 -n NODE",
        "dump -n NODE",
        "dump --all -n NODE",
        "metrics -n NODE",
        "explain --gateway NODE --host a.example --path /app/",
        "explain --gateway NODE --job j1",
        "key new",
    ] {
        let line = line.replace("PATH", &path).replace("NODE", &node).replace("HASH", KEY_HASH);
        let text = ctl(&line);
        assert_eq!(text.code, 0, "{line}: {text:?}");
        let json = ctl(&format!("{line} --json"));
        assert_eq!(json.code, 0, "{line}: {json:?}");
        serde_json::from_str::<Value>(&json.out).unwrap_or_else(|_| panic!("{line}: {json:?}"));
        let help = ctl(&format!("{line} --help"));
        assert!(help.code == 0 && help.out.starts_with("Usage: tamarackctl "), "{help:?}");
    }
}

/// Guards against output of `show` that can't be submitted again, and against a
/// `diff` that names the wrong item or field.
#[test]
fn shown_file_is_valid_and_differences_name_items() {
    let fake = FakeNode::spawn(&FakeStore::shared());
    let node = fake.node();
    assert_eq!(ctl(&format!("submit {} -n {node}", write_file("base", DEPLOYMENT))).code, 0);
    let shown = write_file("shown", &ctl(&format!("show -n {node}")).out);
    assert_eq!(ctl(&format!("check {shown}")).code, 0);
    let same = ctl(&format!("diff {shown} -n {node}"));
    assert_eq!(same.out, "no change against version 1\n");
    let changed = DEPLOYMENT
        .replace("\"weight\": 2", "\"weight\": 3")
        .replace("\"e1\"", "\"e2\"")
        .replace("\"retry_ratio\": 0.2", "\"retry_ratio\": 0.3");
    let different = ctl(&format!("diff {} -n {node}", write_file("changed", &changed)));
    insta::assert_snapshot!(different.out);
}

/// Guards against a submission that is accepted as two versions after its answer
/// was lost, and against an unknown outcome that is reported as a failure.
#[test]
fn lost_answer_of_a_submission_is_repeated_once_by_operation_id() {
    let store = FakeStore::shared();
    let (first, second) = (FakeNode::spawn(&store), FakeNode::spawn(&store));
    let path = write_file("lost", DEPLOYMENT);
    first.set_fault(Fault::LoseAnswer);
    let moved = ctl(&format!("submit {path} --base 0 -n {} -n {}", first.node(), second.node()));
    assert_eq!((moved.code, store.lock().unwrap().version), (0, 1), "{moved:?}");
    let alone = ctl(&format!("submit {path} --base 1 -n {}", first.node()));
    assert_eq!((alone.code, store.lock().unwrap().version), (4, 2), "{alone:?}");
    first.set_fault(Fault::None);
    let options = repeat_options(&alone.err);
    let again = ctl(&format!("submit {path} {options} -n {}", first.node()));
    assert_eq!((again.code, store.lock().unwrap().version), (0, 2), "{again:?}");
}

/// Guards against a submission whose answer was lost and that is reported as
/// refused, because another node refuses it.
#[test]
fn refusal_by_another_node_is_not_the_outcome_of_a_lost_submission() {
    let (first, other) =
        (FakeNode::spawn(&FakeStore::shared()), FakeNode::spawn(&FakeStore::shared()));
    let path = write_file("settle", DEPLOYMENT);
    assert_eq!(ctl(&format!("submit {path} -n {}", other.node())).code, 0);
    first.set_fault(Fault::LoseAnswer);
    let nodes = format!("-n {} -n {}", first.node(), other.node());
    let lost = ctl(&format!("submit {path} --base 0 {nodes}"));
    assert!(lost.code == 4 && repeat_options(&lost.err).starts_with("--base 0 "), "{lost:?}");
}

/// Guards against an accepted change that is reported as failed because the command
/// can't write its output.
#[test]
fn failing_output_does_not_hide_an_accepted_change() {
    let fake = FakeNode::spawn(&FakeStore::shared());
    let line = format!("submit {} -n {}", write_file("full", DEPLOYMENT), fake.node());
    let accepted = ctl_without_output(&line);
    assert!(accepted.code == 0 && accepted.err.contains("version 1 accepted"), "{accepted:?}");
}

/// Guards against a key change that is sent to another node after its answer was
/// lost: nodes may not recognise it as a repetition.
#[test]
fn lost_answer_of_a_key_change_is_left_to_the_operator() {
    let store = FakeStore::shared();
    let (first, second) = (FakeNode::spawn(&store), FakeNode::spawn(&store));
    for fault in [Fault::LoseAnswer, Fault::Internal, Fault::Garbled] {
        first.set_fault(fault);
        let nodes = format!("-n {} -n {}", first.node(), second.node());
        let lost = ctl(&format!("key issue shop {KEY_HASH} {nodes}"));
        assert_eq!((lost.code, second.requests()), (4, 0), "{fault:?}: {lost:?}");
        assert!(repeat_options(&lost.err).starts_with("--operation "), "{lost:?}");
    }
}

/// Guards against a command that fails because one of several hosts is down or
/// stopping.
#[test]
fn next_node_is_tried_if_the_first_did_nothing() {
    let store = FakeStore::shared();
    let (first, second) = (FakeNode::spawn(&store), FakeNode::spawn(&store));
    first.set_fault(Fault::Stopping);
    for node in [first.node(), CLOSED_ADDRESS.into()] {
        let line = format!("data-centre out d1 -n {node} -n {}", second.node());
        let moved = ctl(&line);
        assert_eq!(moved.code, 0, "{moved:?}");
    }
    assert_eq!(store.lock().unwrap().version, 2);
    let all = format!("dump --all -n {} -n {}", second.node(), CLOSED_ADDRESS);
    let partial = ctl(&all);
    assert!(partial.code == 1 && partial.out.contains(&second.node()), "{partial:?}");
}

/// Guards against wrong exit codes, and against an invalid file or argument that is
/// sent to a node.
#[test]
fn exit_codes_tell_refused_invalid_and_pending_apart() {
    let fake = FakeNode::spawn(&FakeStore::shared());
    let node = fake.node();
    let path = write_file("codes", DEPLOYMENT);
    let invalid =
        write_file("invalid", &DEPLOYMENT.replace("\"kind\": \"model\"", "\"kind\": \"modle\""));
    for line in [
        format!("submit {invalid} -n {node}"),
        format!("check {invalid}"),
        format!("check {invalid} --json"),
        format!("submit {path}"),
        format!("submit {path}.none -n {node}"),
        format!("submit {path} -n {node} --wait x"),
        format!("submit {path} -n {node} --operation a&b"),
        format!("key issue Shop {KEY_HASH} -n {node}"),
        format!("key issue shop 12 -n {node}"),
        "sbumit".into(),
    ] {
        let answer = ctl(&line);
        assert_eq!((answer.code, fake.requests()), (2, 0), "{line}: {answer:?}");
    }
    let conflict = ctl(&format!("submit {path} --base 5 -n {node}"));
    assert!(conflict.code == 1 && conflict.err.contains("tamarackctl diff"), "{conflict:?}");
    fake.set_fault(Fault::Pending);
    let pending = ctl(&format!("submit {path} -n {node} --wait 1"));
    assert!(pending.code == 3 && pending.out.contains("not yet on: n1"), "{pending:?}");
    assert_eq!(ctl(&format!("submit {path} -n {node}")).code, 0);
}

/// Guards against new keys that are equal, and against a hash that differs from the
/// one that nodes compute.
#[test]
fn new_keys_differ_and_hash_like_the_node() {
    let read = |json: &str| serde_json::from_str::<Value>(json).unwrap();
    let (one, other) = (read(&ctl("key new --json").out), read(&ctl("key new --json").out));
    assert_ne!(one["key"], other["key"]);
    let key = one["key"].as_str().unwrap();
    let expected = tamarackdock_types::key::Hash::of(key.as_bytes()).to_string();
    assert_eq!(one["hash"], expected.as_str());
    let hashed = ctl_with("key hash", &format!("{key}\n"));
    assert_eq!((hashed.code, hashed.out.trim()), (0, expected.as_str()));
    assert_eq!(ctl_with("key hash", "\n").code, 2);
    assert_eq!(ctl_with("key hash", "two words\n").code, 2);
    // A hash of its beginning would belong to another key.
    assert_eq!(ctl_with("key hash", &format!("{}\n", "k".repeat(5_000))).code, 2);
    assert_eq!(ctl_with("key hash", &format!("{}\n", "k".repeat(4_096))).code, 0);
}

/// Guards against an explanation that leaves out an input, against bad arguments that are sent to
/// a gateway, and against an unknown call or job that looks like a success.
#[test]
fn explanations_are_printed_and_their_arguments_checked() {
    let fake = FakeNode::spawn(&FakeStore::shared());
    let gateway = fake.node();
    for arguments in [
        "",
        "--host a.example",
        "--path /app/",
        "--host a.example --path app/",
        "--host a.example --path /app/?x=1",
        "--host a.example --path /app/ --job j1",
        "--job a&b",
        "--job j1 further",
    ] {
        let answer = ctl(&format!("explain --gateway {gateway} {arguments}"));
        assert_eq!((answer.code, fake.requests()), (2, 0), "{arguments}: {answer:?}");
    }
    for line in ["explain --job j1", "explain --gateway n0 --job j1"] {
        assert_eq!(ctl(line).code, 2, "{line}");
    }
    let explain = |arguments: &str| ctl(&format!("explain -g {gateway} {arguments}"));
    for arguments in ["--host b.example --path /app/", "--job j9"] {
        let unknown = explain(arguments);
        assert!(unknown.code == 1 && unknown.err.contains("no such route or job"), "{unknown:?}");
    }
    assert_eq!(ctl(&format!("explain -g {CLOSED_ADDRESS} --job j1")).code, 1);
    let outputs = ["--host a.example --path /app/", "--job j1", "--job j2"].map(|arguments| {
        let answer = explain(arguments);
        assert_eq!(answer.code, 0, "{answer:?}");
        answer.out
    });
    insta::assert_snapshot!(outputs.join("\n"));
}
