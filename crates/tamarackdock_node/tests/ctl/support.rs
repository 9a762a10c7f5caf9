use std::{
    fs::File,
    io::Write as _,
    process::{Command, Stdio},
};

pub(crate) const KEY_HASH: &str =
    "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae";
/// An address on which nothing listens, with a port that the kernel assigns to no process.
pub(crate) const CLOSED_ADDRESS: &str = "127.0.0.1:1";
pub(crate) const DEPLOYMENT: &str = r#"{
  // A deployment with one item of each list.
  "services": [{"name": "m", "kind": "model"}],
  "accounts": [{"name": "shop", "weight": 2, "services": ["m"]}],
  "trainers": [{"name": "t", "account": "shop", "service": "m", "staleness_bound": 1}],
  "data_centres": [{"name": "d1", "region": "north"}],
  "targets": [{"name": "e1", "service": "m", "data_centre": "d1", "address": "127.0.0.1:9000"}],
  "limits": {"retry_ratio": 0.2},
}"#;

/// The exit code and the output of a run of `tamarackctl`.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) code: i32,
    pub(crate) out: String,
    pub(crate) err: String,
}

/// Runs `tamarackctl` with arguments that are separated by spaces.
pub(crate) fn ctl(line: &str) -> Answer {
    ctl_with(line, "")
}

pub(crate) fn ctl_with(line: &str, input: &str) -> Answer {
    run(line, input, Stdio::piped())
}

/// Runs `tamarackctl` with an output stream on which every write fails.
pub(crate) fn ctl_without_output(line: &str) -> Answer {
    run(line, "", File::options().write(true).open("/dev/full").unwrap().into())
}

fn run(line: &str, input: &str, output: Stdio) -> Answer {
    let mut child = Command::new(env!("CARGO_BIN_EXE_tamarackctl"))
        .args(line.split_whitespace())
        .stdin(Stdio::piped())
        .stdout(output)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The write fails if the command ends without reading its input.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    let output = child.wait_with_output().unwrap();
    Answer {
        code: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

/// Writes a file for one test and returns its path.
pub(crate) fn write_file(name: &str, text: &str) -> String {
    // The process id keeps concurrent runs of the suite apart, since they share the directory.
    let run = std::process::id();
    let path = format!("{}/{run}-{name}.jsonc", env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(&path, text).unwrap();
    path
}

/// Returns the options with which an error message asks to repeat the command.
pub(crate) fn repeat_options(error: &str) -> String {
    let rest = error.split_once("repeat with `").expect(error).1;
    rest.split_once('`').unwrap().0.into()
}
