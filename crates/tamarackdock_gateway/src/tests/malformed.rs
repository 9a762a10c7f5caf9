//! Bytes that are no message: one of them must not end the process.

use bytes::BytesMut;
use proptest::prelude::*;
use slog::{Discard, Logger, o};
use tamarackdock_platform::table::{Batch, Change, Row};

use super::at;
use crate::{
    batch::{Page, commit, progress, rows},
    codec,
    crash::SuspectRequests,
    event::{Event, EventParser},
    http::{Body, RequestHead, ResponseHead},
    members::MemberTable,
    peer::{PeerRequest, PeerResponse},
};

/// Largest head that the parsers accept in these tests.
const MAX_HEAD: usize = 4096;

/// Valid messages, which the tests below damage.
const SEEDS: [&str; 9] = [
    "POST /a?b=c HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
    "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;x=y\r\nabcde\r\n0\r\nA: b\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    "id: 1\ndata: x\n\nid: 2\r\ndata: y\r\n\r\n",
    r#"{"id":"a","state":"completed","text":"x","versions":[1],"score":"s"}"#,
    r#"{"last":3,"parts":[[1,"x"],[null,"y"]],"complete":true}"#,
    r#"{"number":1,"peers":"127.0.0.1:1","data_centre":"x","wall_offset_ms":5,"leaving":false}"#,
    r#"{"number":1,"peers":"127.0.0.1:1","data_centre":"x","wall_offset_ms":5,"leaving":false,
        "limits":[{"target":"a","started":1,"observation":{"spacing":500000,"at_ms":7}}]}"#,
    r#"{"account":null,"host":"h","path":"/","model":null,"step":1,"accepted_ms":0,"items":1}"#,
];

/// Returns arbitrary bytes, or a valid message with some bytes replaced and its end cut off.
fn messages() -> impl Strategy<Value = Vec<u8>> {
    let damaged = (
        0..SEEDS.len(),
        prop::collection::vec((any::<usize>(), any::<u8>()), 0..6),
        any::<usize>(),
    );
    let damaged = damaged.prop_map(|(seed, changes, length)| {
        let mut bytes = SEEDS[seed].as_bytes().to_vec();
        for (at, byte) in changes {
            let at = at % bytes.len();
            bytes[at] = byte;
        }
        let length = length % (2 * bytes.len());
        bytes.truncate(length.max(1));
        bytes
    });
    prop_oneof![prop::collection::vec(any::<u8>(), 0..200), damaged]
}

fn parse_http(bytes: &[u8]) {
    let mut buffer = BytesMut::from(bytes);
    if let Ok(Some(head)) = RequestHead::parse(&mut buffer, MAX_HEAD) {
        let mut body = Body::new(head.framing);
        while let Ok(Some(_)) = body.take(&mut buffer) {}
    }
    let mut buffer = BytesMut::from(bytes);
    if let Ok(Some(head)) = ResponseHead::parse(&mut buffer, MAX_HEAD) {
        let mut body = Body::new(head.framing);
        while let Ok(Some(_)) = body.take(&mut buffer) {}
    }
}

fn parse_events(bytes: &[u8]) {
    let mut parser = EventParser::new("x-version");
    for part in bytes.chunks(7) {
        parser.push(part);
        while let Ok(Some(_)) = parser.next() {}
    }
}

fn parse_rows(text: &str) {
    let log = Logger::root(Discard, o!());
    let change = Change { key: text.into(), revision: 1, value: Some(text.into()) };
    let batch = Batch { changes: vec![change], revision: 1 };
    let mut members = MemberTable::default();
    members.update(&batch, at(0), &log);
    members.apply(&batch, at(1), &log);
    SuspectRequests::default().update(&batch, at(0), &log);
    let row = |key: String| Row { key, revision: 1, value: text.into(), operation: String::new() };
    let results = [row(rows::result_key("j", Some(0)) + "/00"), row(text.into())];
    assert!(commit::join_rows(&results, 0).len() <= results.len());
    let segments = [row(rows::progress_key("j", "i") + "/00010000000000"), row(text.into())];
    assert!(progress::join_segments("j", &segments).len() <= segments.len());
    // Neither result matters, only that decoding returns.
    let _ = serde_json::from_str::<rows::JobHead>(text);
}

proptest! {
    /// Guards against a peer, target, client or row of the store that ends the process by a
    /// message that can't be decoded.
    #[test]
    fn malformed_messages_are_rejected(bytes in messages()) {
        parse_http(&bytes);
        parse_events(&bytes);
        parse_rows(&String::from_utf8_lossy(&bytes));
        let _ = codec::decode::<PeerRequest>(&bytes);
        let _ = codec::decode::<PeerResponse>(&bytes);
        let _ = codec::decode::<Page>(&bytes);
    }

    /// Guards against an event, or an error that ends the stream, that is found or not depending
    /// on how its bytes arrive.
    #[test]
    fn events_do_not_depend_on_how_bytes_arrive(bytes in messages(), size in 1_usize..9) {
        prop_assert_eq!(events(&bytes, size), events(&bytes, bytes.len().max(1)));
    }
}

/// Returns the events up to the first error, which is the last entry if there is one.
fn events(bytes: &[u8], part_bytes: usize) -> Vec<Option<Event>> {
    let mut parser = EventParser::new("x-version");
    let mut events = Vec::new();
    for part in bytes.chunks(part_bytes) {
        parser.push(part);
        loop {
            match parser.next() {
                Ok(Some(event)) => events.push(Some(event)),
                Ok(None) => break,
                Err(_) => {
                    events.push(None);
                    return events;
                }
            }
        }
    }
    events
}
