//! Messages between nodes of two releases.

use std::time::Duration;

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::{Value, json};
use tamarackdock_route::observed::{Observed, Report, Speed};

use crate::{
    batch::{ItemResult, rows::JobHead},
    codec,
    forward::ForwardedRequest,
    members, observed,
    peer::{PeerRequest, PeerResponse},
};

/// Messages and rows as the release 8482891 encoded them: their kind, bytes, and content as JSON.
const RECORDED: &str = include_str!("recorded/8482891.txt");

/// Returns the content of a message as JSON.
fn content<T: Serialize + DeserializeOwned>(bytes: &[u8]) -> Value {
    let message: T = codec::decode(bytes).unwrap();
    let again: T = codec::decode(&codec::encode(&message).unwrap()).unwrap();
    let value = serde_json::to_value(&message).unwrap();
    assert_eq!(serde_json::to_value(&again).unwrap(), value);
    value
}

fn unhex(text: &str) -> Vec<u8> {
    let digits = (0..text.len()).step_by(2).map(|at| &text[at..at + 2]);
    digits.map(|digits| u8::from_str_radix(digits, 16).unwrap()).collect()
}

/// Guards against a message of a node of the earlier release that can't be read, or is read as
/// another one.
#[test]
fn messages_of_the_earlier_release_are_read() {
    for line in RECORDED.lines() {
        let mut parts = line.splitn(3, ' ');
        let (kind, bytes) = (parts.next().unwrap(), unhex(parts.next().unwrap()));
        let expected: Value = serde_json::from_str(parts.next().unwrap()).unwrap();
        let found = match kind {
            "request" => content::<PeerRequest>(&bytes),
            "response" => content::<PeerResponse>(&bytes),
            "forwarded" => content::<ForwardedRequest>(&bytes),
            "head" => content::<JobHead>(&bytes),
            "member" => content::<members::Row>(&bytes),
            "result" => content::<ItemResult>(&bytes),
            kind => panic!("unknown kind `{kind}`"),
        };
        assert_eq!(found, expected, "{line}");
    }
}

/// Guards against rows of the earlier release that can't be read.
#[test]
fn rows_of_the_earlier_release_are_read() {
    for line in RECORDED.lines() {
        let (kind, rest) = line.split_once(' ').unwrap();
        let text = rest.split_once(' ').unwrap().1;
        match kind {
            "head" => drop(serde_json::from_str::<JobHead>(text).unwrap()),
            "member" => drop(serde_json::from_str::<members::Row>(text).unwrap()),
            "result" => drop(serde_json::from_str::<ItemResult>(text).unwrap()),
            _ => {}
        }
    }
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Known {
    number: u64,
    #[serde(default)]
    later: Option<String>,
}

#[derive(Serialize)]
struct Newer {
    added: Vec<u64>,
    number: u64,
    later: Option<String>,
    last: bool,
}

#[derive(Serialize)]
struct Older {
    number: u64,
}

/// Guards against a field that a later release adds, at any place, and that makes its messages
/// unreadable for this one.
#[test]
fn fields_of_other_releases_are_ignored_or_have_a_default() {
    let newer = Newer { added: vec![1], number: 7, later: Some("x".into()), last: true };
    let decode = |bytes: Vec<u8>| codec::decode::<Known>(&bytes).unwrap();
    let known = |later| Known { number: 7, later };
    assert_eq!(decode(codec::encode(&newer).unwrap()), known(Some("x".into())));
    assert_eq!(decode(codec::encode(&Older { number: 7 }).unwrap()), known(None));
    assert_eq!(decode(rmp_serde::to_vec(&Older { number: 7 }).unwrap()), known(None));
}

/// Returns a report of a number of targets, with ids as long as those of platforms.
fn report(targets: usize) -> Report {
    let speed = Speed { event_interval_ms: 48.5, samples: 32, age: Duration::from_millis(120) };
    let observed = (0..targets).map(|target| {
        let id = format!("engine-{target:03}-of-region-1a");
        Observed::new(id.into(), Some(1_765_000_000_000), 8, Some(speed), speed.age)
    });
    Report::new("host-041".into(), u64::MAX, 1_000, observed.collect())
}

/// Guards against reports that a later or an earlier release can't read, and against ones that grow
/// beyond what small hosts send twice a second.
#[test]
fn reports_are_maps_and_their_size_is_bounded() {
    let request = |targets, wants_report| {
        PeerRequest::Observed(observed::Message { report: report(targets), wants_report })
    };
    let sizes =
        [0, 1, 45, 200].map(|targets| codec::encode(&request(targets, false)).unwrap().len());
    println!("bytes of a report of 0, 1, 45 and 200 targets: {sizes:?}");
    assert!(sizes[3] <= 32 * 1024);
    let bytes = codec::encode(&request(1, true)).unwrap();
    assert_eq!(codec::decode::<PeerRequest>(&bytes).unwrap(), request(1, true));
    // A later release may add fields, and an earlier one may not send all.
    let other = json!({"Observed": {"later": 1, "report": {"host": "h", "run": 1, "sequence": 2,
        "targets": [{"target": "t", "running": 3, "later": "x"}]}}});
    let bytes = codec::encode(&other).unwrap();
    let PeerRequest::Observed(message) = codec::decode::<PeerRequest>(&bytes).unwrap() else {
        panic!("another kind of request");
    };
    let target =
        Observed { running: 3, ..Observed::new("t".into(), None, 0, None, Duration::ZERO) };
    assert_eq!((message.wants_report, message.report.targets), (false, vec![target]));
    // A release that does not know a kind rejects it, which the sender takes as its answer.
    let unknown = codec::encode(&json!({"Unknown": {"report": {}}})).unwrap();
    assert!(codec::decode::<PeerRequest>(&unknown).is_err());
}
