//! Messages between nodes of two releases.

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::Value;

use crate::{
    batch::{ItemResult, rows::JobHead},
    codec,
    forward::ForwardedRequest,
    members,
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
