use bytes::BytesMut;

use crate::{
    call::HopByHop,
    codec,
    http::{Framing, HeadError, Headers, RequestHead, ResponseHead, head::HeadEnd},
};

const LIMIT: usize = 1024;

fn request(text: &str) -> Result<Option<RequestHead>, HeadError> {
    RequestHead::parse(&mut BytesMut::from(text), LIMIT)
}

fn response(text: &str) -> Result<Option<ResponseHead>, HeadError> {
    ResponseHead::parse(&mut BytesMut::from(text), LIMIT)
}

/// Guards against request smuggling: a request whose body could end at two different
/// places must not be forwarded.
#[test]
fn ambiguous_lengths_are_refused() {
    let heads = [
        "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 3, 3\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
        "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
    ];
    for head in heads {
        assert_eq!(request(head), Err(HeadError::Framing), "{head:?}");
    }
}

/// Guards against heads without an end that exhaust the memory.
#[test]
fn long_heads_are_refused() {
    let endless = format!("GET / HTTP/1.1\r\nA: {}", "x".repeat(LIMIT));
    assert_eq!(request(&endless), Err(HeadError::TooLarge));
    let complete = format!("GET / HTTP/1.1\r\nA: {}\r\n\r\n", "x".repeat(LIMIT));
    assert_eq!(request(&complete), Err(HeadError::TooLarge));
    assert_eq!(request("GET / HTTP/1.1\r\nA: x"), Ok(None));
}

/// Guards against a head that was cut off and passes as complete.
#[test]
fn a_head_that_ends_early_is_incomplete() {
    let text = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n";
    for length in 0..text.len() {
        assert_eq!(response(&text[..length]), Ok(None), "{:?}", &text[..length]);
    }
    assert_eq!(response(text).unwrap().unwrap().framing, Framing::Length(12));
}

/// Guards against malformed heads that are accepted or count as incomplete.
#[test]
fn malformed_heads_are_refused() {
    for head in ["\0\0\0\r\n\r\n", "GET\r\n\r\n", "GET / HTTP/1.1\r\nA b: c\r\n\r\n"] {
        assert_eq!(request(head), Err(HeadError::Malformed), "{head:?}");
    }
    assert_eq!(response("not an answer at all\r\n\r\n"), Err(HeadError::Malformed));
}

/// Guards against an answer without a status of HTTP that counts as one, whether a target, the
/// store, the platform's API or another node has sent it: all are read by this parser.
#[test]
fn statuses_outside_of_http_are_malformed() {
    for status in ["000", "099", "600", "999", "20", "2000", "-01", "+20", "2x0", "", " 200", "0x1"]
    {
        for reason in [" OK", " ", ""] {
            let head = format!("HTTP/1.1 {status}{reason}\r\nContent-Length: 0\r\n\r\n");
            assert_eq!(response(&head), Err(HeadError::Malformed), "{head:?}");
        }
    }
    for status in [200, 299, 404, 599] {
        let head = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
        assert_eq!(response(&head).map(|head| head.map(|head| head.status)), Ok(Some(status)));
    }
}

/// Guards against an answer with a field that HTTP does not allow, which another reader could take
/// for another field or frame otherwise. All answers are read by this parser, as above.
#[test]
fn fields_outside_of_http_are_malformed() {
    let controls = (0..=0x1f_u8).chain([0x7f]).map(char::from);
    let names = controls
        .clone()
        .chain([' '])
        .flat_map(|byte| [format!("X{byte}: 1"), format!("{byte}X: 1"), format!("X{byte}Y: 1")]);
    let values = controls.filter(|byte| *byte != '\t').map(|byte| format!("X: a{byte}b: 1"));
    for line in names.chain(values) {
        for fields in
            [format!("{line}\r\nContent-Length: 0\r\n"), format!("Content-Length: 0\r\n{line}\r\n")]
        {
            let head = format!("HTTP/1.1 200 OK\r\n{fields}\r\n");
            assert_eq!(response(&head), Err(HeadError::Malformed), "{head:?}");
        }
    }
}

/// Guards against a pipelined request that is lost or taken for the body of the first.
#[test]
fn bytes_after_a_head_stay() {
    let mut buffer = BytesMut::from("GET /a?b=%20 HTTP/1.1\r\nHost: h\r\n\r\nGET /c");
    let head = RequestHead::parse(&mut buffer, LIMIT).unwrap().unwrap();
    assert_eq!((head.target.as_str(), head.path()), ("/a?b=%20", "/a"));
    assert_eq!(head.framing, Framing::Length(0));
    assert_eq!(&buffer[..], b"GET /c");
}

/// Guards against a response without a length that counts as empty, and against
/// interim responses that count as final.
#[test]
fn framing_of_responses() {
    let framing = |text: &str| response(text).unwrap().unwrap().framing;
    assert_eq!(framing("HTTP/1.1 200 OK\r\n\r\n"), Framing::UntilClose);
    assert_eq!(framing("HTTP/1.1 204 No Content\r\nContent-Length: 7\r\n\r\n"), Framing::Length(0));
    let interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Full\r\nContent-Length: 2\r\n\r\n";
    let head = response(interim).unwrap().unwrap();
    assert_eq!((head.status, head.framing), (503, Framing::Length(2)));
}

/// Guards against the reuse of a connection that the sender closes.
#[test]
fn connections_are_kept_as_the_sender_says() {
    let kept = |text: &str| response(text).unwrap().unwrap().keep_alive;
    assert!(kept("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
    assert!(!kept("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: x, Close\r\n\r\n"));
    assert!(
        !kept("HTTP/1.1 200 OK\r\n\r\n"),
        "the end of the response is the end of the connection"
    );
    assert!(!kept("HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n"));
}

/// Guards against the rejection of a head within the limit because of the number of its fields,
/// and against fields that take many times the memory of their bytes.
#[test]
fn heads_of_short_lines_are_accepted() {
    let limit = 16_384;
    let lines = "a:\r\n".repeat(4_000);
    let text = format!("GET / HTTP/1.1\r\n{lines}Host: h\r\n\r\n");
    let head = RequestHead::parse(&mut BytesMut::from(&*text), limit).unwrap().unwrap();
    assert_eq!(head.headers.iter().count(), 4_001);
    assert_eq!(head.headers.get("host"), Some("h"));
    let size = head.memory();
    assert!(size <= 4 * text.len(), "{size} bytes for a head of {}", text.len());
}

/// Guards against an end of a head that is found too early, too late or never, wherever the parts
/// in which it arrives end.
#[test]
fn the_end_of_a_head_is_found_in_parts() {
    for end in ["\r\n\r\n", "\n\n", "\n\r\n", "\r\n\n"] {
        let head = format!("\r\n\nGET / HTTP/1.1\r\nA: b\rc\nD:{end}");
        let text = format!("{head}\n\nnext");
        for first in 0..=text.len() {
            let mut search = HeadEnd::default();
            let early = search.find(&text.as_bytes()[..first]);
            assert_eq!(early, (first >= head.len()).then_some(head.len()), "{first} of {text:?}");
            if early.is_none() {
                assert_eq!(search.find(text.as_bytes()), Some(head.len()), "{first} of {text:?}");
            }
        }
        let mut search = HeadEnd::default();
        let found = (0..=text.len()).find_map(|length| search.find(&text.as_bytes()[..length]));
        assert_eq!(found, Some(head.len()), "{text:?}");
    }
}

/// Guards against fields of one connection that are forwarded, in any case of their names.
#[test]
fn fields_named_by_connection_are_dropped() {
    let mut headers = Headers::default();
    headers.push("Connection", "x, B , a");
    headers.push("connection", "Close");
    let hop_by_hop = HopByHop::of(&headers);
    for name in ["A", "b", "X", "close", "Keep-Alive", "connection"] {
        assert!(hop_by_hop.contains(name), "{name}");
    }
    for name in ["", "c", "ab", "host"] {
        assert!(!hop_by_hop.contains(name), "{name}");
    }
}

/// Guards against rows and messages of earlier releases that are not read, or not written in the
/// same way.
#[test]
fn fields_are_encoded_as_pairs() {
    let pairs = vec![("A".to_owned(), b"b".to_vec()), ("c".to_owned(), vec![0, 255])];
    let mut headers = Headers::default();
    for (name, value) in &pairs {
        headers.push(name, value);
    }
    let encoded = codec::encode(&headers).unwrap();
    assert_eq!(encoded, codec::encode(&pairs).unwrap());
    assert_eq!(codec::decode::<Headers>(&encoded).unwrap(), headers);
    let text = serde_json::to_string(&headers).unwrap();
    assert_eq!(text, serde_json::to_string(&pairs).unwrap());
    headers.remove("a");
    assert_eq!(headers.iter().collect::<Vec<_>>(), [("c", &[0, 255][..])]);
}
