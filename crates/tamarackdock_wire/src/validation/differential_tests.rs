//! Compares the scanner with the decoder of `monoio-http` on mutated messages.

use std::collections::VecDeque;

use bytes::Bytes;
use futures_util::FutureExt;
use monoio::{
    BufResult,
    buf::{IoBufMut, IoVecBufMut},
    io::{AsyncReadRent, stream::Stream},
};
use monoio_http::{
    common::body::{Body, BodyExt},
    h1::codec::decoder::{ClientResponseDecoder, FillPayload, PayloadDecoder, RequestDecoder},
};
use proptest::{
    collection::vec,
    prelude::*,
    sample::{Index, select},
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

use super::{CheckedReader, Direction, Error, Limits, Scanner};

const SEED: [u8; 32] = [41; 32];
const CASES: u32 = 6_000;
const LIMITS: Limits = Limits { head: 256, body: 64, chunk: 16 };

const REQUESTS: [&str; 6] = [
    "GET /a?b=c HTTP/1.1\r\nHost: h\r\n\r\n",
    "POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\nhello world",
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nA\r\n0123456789\r\n0\r\n\r\n",
    "PUT /x HTTP/1.0\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
    "POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nabcdGET / HTTP/1.1\r\n\r\n",
    "OPTIONS * HTTP/1.1\r\ntransfer-encoding: Chunked\r\n\r\n0\r\n\r\n",
];
const RESPONSES: [&str; 6] = [
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n00\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
    "HTTP/1.1 204 No Content\r\n\r\n",
    "HTTP/1.1 304 Not Modified\r\nContent-Length: 40\r\n\r\n",
    "HTTP/1.0 404 Not Found\r\nContent-Length: 2\r\n\r\nno",
];
const FRAGMENTS: [&str; 20] = [
    "\r\n",
    "\r\n\r\n",
    "\n",
    "\r",
    "0",
    "5",
    "-1",
    "+3",
    " ",
    "\t",
    ";x=y",
    ",",
    "chunked",
    "identity",
    "Content-Length: 4\r\n",
    "Transfer-Encoding: chunked\r\n",
    "A: b\r\n c: d\r\n",
    "X-T: 1\r\n\r\n",
    "\0",
    "\u{e9}",
];

#[derive(Debug, Clone)]
enum Mutation {
    Replace(Index, u8),
    Insert(Index, &'static str),
    Remove(Index, usize),
    Repeat(Index, usize),
    Raw(Vec<u8>),
}

fn mutation() -> impl Strategy<Value = Mutation> {
    prop_oneof![
        3 => (any::<Index>(), any::<u8>()).prop_map(|(at, byte)| Mutation::Replace(at, byte)),
        6 => (any::<Index>(), select(&FRAGMENTS[..])).prop_map(|(at, text)| Mutation::Insert(at, text)),
        3 => (any::<Index>(), 1_usize..12).prop_map(|(at, count)| Mutation::Remove(at, count)),
        2 => (any::<Index>(), 1_usize..40).prop_map(|(at, count)| Mutation::Repeat(at, count)),
        1 => vec(any::<u8>(), 0..40).prop_map(Mutation::Raw),
    ]
}

fn mutate(mut bytes: Vec<u8>, mutations: &[Mutation]) -> Vec<u8> {
    for mutation in mutations {
        if bytes.is_empty() {
            bytes.push(b'G');
        }
        let length = bytes.len();
        match mutation {
            Mutation::Replace(at, byte) => bytes[at.index(length)] = *byte,
            Mutation::Insert(at, text) => {
                let at = at.index(length);
                bytes.splice(at..at, text.bytes());
            }
            Mutation::Remove(at, count) => {
                let at = at.index(length);
                bytes.drain(at..length.min(at + count));
            }
            Mutation::Repeat(at, count) => {
                let at = at.index(length);
                let part = bytes[at..length.min(at + count)].to_vec();
                bytes.splice(at..at, part);
            }
            Mutation::Raw(raw) => bytes.clone_from(raw),
        }
    }
    bytes
}

fn pieces(mut bytes: &[u8], sizes: &[usize]) -> VecDeque<Vec<u8>> {
    let mut pieces = VecDeque::new();
    let mut sizes = sizes.iter().cycle();
    while !bytes.is_empty() {
        let (piece, rest) = bytes.split_at(bytes.len().min(*sizes.next().unwrap_or(&1)));
        pieces.push_back(piece.to_vec());
        bytes = rest;
    }
    pieces
}

/// A reader that returns one of the given pieces with each read.
struct Pieces(VecDeque<Vec<u8>>);

impl AsyncReadRent for Pieces {
    async fn read<T: IoBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        let piece = self.0.pop_front().unwrap_or_default();
        let mut unread = piece.as_slice();
        let outcome = unread.read(buf).await;
        if !unread.is_empty() {
            self.0.push_front(unread.to_vec());
        }
        outcome
    }

    async fn readv<T: IoVecBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        (Ok(0), buf)
    }
}

/// Returns the length of the first message, or `None` if it is incomplete.
fn scan(
    direction: Direction,
    bodiless: bool,
    pieces: &VecDeque<Vec<u8>>,
) -> Result<Option<usize>, Error> {
    let mut scanner = Scanner::new(direction, LIMITS);
    if bodiless {
        scanner.begin_bodiless();
    }
    let mut used = 0;
    for piece in pieces {
        used += scanner.feed(piece)?;
        if scanner.is_complete() {
            return Ok(Some(used));
        }
    }
    Ok(None)
}

async fn decode_request(reader: impl AsyncReadRent) -> Option<Bytes> {
    let mut decoder = RequestDecoder::new(reader);
    let request = decoder.next().await?.ok()?;
    decoder.fill_payload().await.ok()?;
    request.into_body().bytes().await.ok()
}

async fn decode_response(reader: impl AsyncReadRent, bodiless: bool) -> Option<Bytes> {
    let mut decoder = ClientResponseDecoder::new(reader);
    loop {
        let response = decoder.next().await?.ok()?;
        let status = response.status().as_u16();
        if status < 200 {
            continue;
        }
        let no_body = bodiless || status == 204 || status == 304;
        let payload = if no_body { PayloadDecoder::None } else { response.into_body() };
        let mut framed = payload.with_io(decoder);
        let mut body = Vec::new();
        while let Some(data) = framed.next_data().await {
            body.extend_from_slice(&data.ok()?);
        }
        return Some(body.into());
    }
}

/// Extracts the body of an accepted message independently of both parsers.
fn expected_body(direction: Direction, bodiless: bool, mut message: &[u8]) -> Vec<u8> {
    loop {
        let end = message.windows(4).position(|part| part == b"\r\n\r\n").expect("a head") + 4;
        let (head, rest) = message.split_at(end);
        let head = String::from_utf8_lossy(head).to_ascii_lowercase();
        if direction == Direction::Response
            && head.split(' ').nth(1).is_some_and(|s| s.starts_with('1'))
        {
            message = rest;
            continue;
        }
        let is_chunked = head.lines().any(|line| line.starts_with("transfer-encoding:"));
        return if is_chunked && !bodiless { join_chunks(rest) } else { rest.to_vec() };
    }
}

fn join_chunks(mut rest: &[u8]) -> Vec<u8> {
    let mut body = Vec::new();
    loop {
        let line = rest.iter().position(|byte| *byte == b'\r').expect("a size line");
        let digits = std::str::from_utf8(&rest[..line]).expect("digits");
        let size = usize::from_str_radix(digits, 16).expect("a size");
        if size == 0 {
            return body;
        }
        let start = line + 2;
        body.extend_from_slice(&rest[start..start + size]);
        rest = &rest[start + size + 2..];
    }
}

fn check(
    direction: Direction,
    bodiless: bool,
    bytes: &[u8],
    sizes: &[usize],
) -> Result<bool, TestCaseError> {
    let split = pieces(bytes, sizes);
    let scanned = scan(direction, bodiless, &split);
    prop_assert_eq!(&scanned, &scan(direction, bodiless, &pieces(bytes, &[1])), "single bytes");
    prop_assert_eq!(&scanned, &scan(direction, bodiless, &pieces(bytes, &[usize::MAX])), "whole");
    let mut reader = CheckedReader::new(Pieces(split), direction, LIMITS);
    if bodiless {
        reader.begin_bodiless();
    }
    let decoded = match direction {
        Direction::Request => decode_request(&mut reader).now_or_never(),
        Direction::Response => decode_response(&mut reader, bodiless).now_or_never(),
    };
    let decoded = decoded.expect("in-memory readers are always ready");
    let Ok(Some(length)) = scanned else {
        // What the scanner rejects or finds incomplete must not be decoded as a whole message.
        prop_assert_eq!(decoded, None);
        return Ok(false);
    };
    prop_assert!(reader.is_message_read(), "the decoder stops before the scanner");
    let body = expected_body(direction, bodiless, &bytes[..length]);
    prop_assert_eq!(decoded, Some(Bytes::from(body)));
    Ok(true)
}

/// Guards against a scanner and a decoder that find different messages in the
/// same bytes, which would let a request or response be smuggled past the scanner.
/// Also guards against results that depend on packet boundaries, and against panics.
#[test]
fn scanner_and_decoder_agree() {
    println!("seed {SEED:?}, {CASES} cases in each direction");
    for direction in [Direction::Request, Direction::Response] {
        let templates = match direction {
            Direction::Request => REQUESTS,
            Direction::Response => RESPONSES,
        };
        let mut config = Config::with_cases(CASES);
        config.failure_persistence = None;
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
        let mut runner = TestRunner::new_with_rng(config, rng);
        let accepted = std::cell::Cell::new(0);
        let strategy = (
            select(templates.to_vec()),
            vec(mutation(), 0..4),
            vec(1_usize..30, 1..6),
            any::<bool>(),
        );
        let outcome = runner.run(&strategy, |(template, mutations, sizes, head)| {
            let bytes = mutate(template.into(), &mutations);
            let bodiless = head && direction == Direction::Response;
            let is_accepted = check(direction, bodiless, &bytes, &sizes)?;
            accepted.set(accepted.get() + u32::from(is_accepted));
            Ok(())
        });
        outcome.unwrap_or_else(|error| panic!("{direction:?}: {error}"));
        println!("{direction:?}: {} accepted", accepted.get());
        assert!(
            accepted.get() > CASES / 10,
            "too few messages were accepted for a meaningful comparison"
        );
    }
}
