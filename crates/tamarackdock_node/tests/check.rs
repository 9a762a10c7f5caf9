//! Checks the program's exit codes and reports for settings files.

use std::{fs, process::Command};

/// Runs the program with a settings file, and returns its exit code and its output
/// on both streams.
fn run(name: &str, text: &str, arguments: &[&str]) -> (Option<i32>, String) {
    let path = format!("{}/{name}", env!("CARGO_TARGET_TMPDIR"));
    fs::write(&path, text).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_tamarackdock"))
        .args(["--config", &path])
        .args(arguments)
        .output()
        .unwrap();
    let printed = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8(printed).unwrap())
}

const VALID_SETTINGS: &str = r#"{
    // Ports are chosen by the kernel.
    "host": "n0",
    "data_centre": "d1",
    "caller_address": "127.0.0.1:0",
    "operator_address": "127.0.0.1:0",
    "peer_address": "127.0.0.1:0",
    "platform_address": "127.0.0.1:9",
}"#;

/// Guards against mistakes in a settings file that are reported one at a time, and
/// against a start with invalid settings.
#[test]
fn all_faults_of_settings_are_reported_at_once() {
    let bad = VALID_SETTINGS.replace("\"n0\"", "\"N 0\"").replace("\"data_centre\"", "\"centre\"");
    for arguments in [&["--check"][..], &[]] {
        let (code, printed) = run("bad.jsonc", &bad, arguments);
        assert_eq!(code, Some(2), "{printed}");
        for expected in ["bad.jsonc:3:", "bad.jsonc:4:", "`host`", "`centre`", "`data_centre`"] {
            assert!(printed.contains(expected), "{expected} is missing in {printed}");
        }
    }
}

/// Guards against a check that rejects settings with which the program starts.
#[test]
fn valid_settings_pass_the_check() {
    let (code, printed) = run("good.jsonc", VALID_SETTINGS, &["--check"]);
    assert_eq!(code, Some(0), "{printed}");
}
