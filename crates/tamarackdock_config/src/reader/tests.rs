use proptest::{prelude::*, test_runner::RngSeed};

use super::{deployment, settings};

const SEED: u64 = 0x7a11;
const GOOD: &str = r#"{
  // Comments and trailing commas are allowed.
  "services": [{"name": "m", "kind": "model"}, {"name": "tool", "kind": "plain", "access": "open"}],
  "accounts": [{"name": "a", "weight": 2, "services": ["m"], "keys":
    ["2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"]}],
  "trainers": [{"name": "t", "account": "a", "service": "m", "staleness_bound": 2}],
  "data_centres": [{"name": "d1", "region": "north", "state": "in"}],
  "targets": [{"name": "e1", "service": "m", "data_centre": "d1", "address": "127.0.0.1:9000"}],
  "limits": {"body_bytes": 1000, "retry_ratio": 0.2},
}"#;
const BAD: &str = r#"{
  "services": [
    {"name": "m", "kind": "modle"},
    {"name": "m", "kind": "plain", "idempotnet": true},
  ],
  "accounts": [
    {"name": "a", "weight": 0, "services": ["x"],
     "keys": ["2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae", "12"]},
    {"name": "b", "weight": "3",
     "keys": ["2C26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"]},
  ],
  "trainers": [{"name": "t", "account": "c", "service": "m", "staleness_bound": -1}],
  "data_centres": {"name": "d1"},
  "targets": [
    {"name": "e1", "service": "n", "data_centre": "d1", "address": "127.0.0.1:0", "capacity": 0},
    {"name": "E 2", "service": "m", "capacity": 2, "cold_capacity": 3, "name": "e3"},
  ],
  "limits": {"retry_ratio": 1.5, "first_byte_ms": 0},
}"#;
const SETTINGS: &str = r#"{"host": "h1", "data_centre": "d1", "caller_address": "127.0.0.1:80",
  "operator_address": "127.0.0.1:81", "peer_address": "127.0.0.1:82", "platform_address": "127.0.0.1:80",
  "log": {"format": "json"}}"#;

/// Guards against a report that stops at the first problem, or that lacks the position,
/// the path or the remedy of a problem.
#[test]
fn bad_deployment_report() {
    insta::assert_snapshot!(deployment("deployment.jsonc", BAD.as_bytes()).unwrap_err());
}

/// Guards against a reader that accepts equal ports, so that they are found only when a listener
/// fails to bind, and against a schema that lacks a field of the types.
#[test]
fn good_files_are_read_and_equal_ports_refused() {
    let read = deployment("d", GOOD.as_bytes()).unwrap();
    let written = serde_json::to_vec(&read).unwrap();
    assert_eq!(deployment("d", &written).unwrap(), read);
    let read = settings("s", SETTINGS.as_bytes()).unwrap();
    assert_eq!(settings("s", &serde_json::to_vec(&read).unwrap()).unwrap(), read);
    let equal = SETTINGS.replace(":82", ":81");
    insta::assert_snapshot!(settings("s", equal.as_bytes()).unwrap_err());
}

/// Guards against stack exhaustion by deeply nested values, with and without the closing
/// brackets.
#[test]
fn deep_files_are_refused() {
    for (open, close) in [("[", "]"), ("{\"a\":", "}"), ("{\"services\":[", "]}")] {
        for depth in [500, 100_000] {
            let text = format!("{}{}", open.repeat(depth), close.repeat(depth));
            assert!(deployment("d", text.as_bytes()).is_err());
            assert!(settings("s", open.repeat(depth).as_bytes()).is_err());
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000, rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Guards against a reader that panics on some bytes, and against problems whose position is
    /// not in the file.
    #[test]
    fn any_bytes_give_a_result(
        noise in prop::collection::vec(any::<u8>(), 0..200),
        base in prop::sample::select(vec![GOOD, BAD, SETTINGS]),
        edits in prop::collection::vec((any::<prop::sample::Index>(), 0..4_u8, any::<u8>()), 0..8),
    ) {
        let mut bytes = base.as_bytes().to_vec();
        for (at, kind, byte) in edits {
            let at = at.index(bytes.len().max(1));
            match kind {
                0 if at < bytes.len() => bytes[at] = byte,
                1 if at < bytes.len() => drop(bytes.remove(at)),
                2 => bytes.insert(at, b"{}[]\",:0-e\\/*"[usize::from(byte) % 13]),
                _ => bytes.truncate(at + bytes.len() / 2),
            }
        }
        for input in [&noise, &bytes] {
            let lines = input.iter().filter(|byte| matches!(byte, b'\n' | b'\r')).count() + 1;
            let reports = [deployment("d", input).err(), settings("s", input).err()];
            for problem in reports.iter().flatten().flat_map(super::Report::problems) {
                prop_assert!((1..=lines).contains(&problem.position.line), "{problem}");
            }
        }
    }
}
