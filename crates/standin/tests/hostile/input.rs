use std::fmt;

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// Method, path and body of valid requests, which the node answers with success.
const REQUESTS: [(&str, &str, &str); 7] = [
    ("GET", "/healthz", ""),
    ("POST", "/v1/completions", r#"{"model":"m","prompt":"courier","max_tokens":4}"#),
    ("POST", "/v1/completions", r#"{"model":"m","prompt":"courier","max_tokens":4,"stream":true}"#),
    ("PUT", "/v1/services/parcels/a/b?c=d", "parcel"),
    (
        "POST",
        "/v1/steps",
        r#"{"trainer":"t1","step":1,"prompts":["a"],"group_size":2,"max_tokens":4,"staleness_bound":1}"#,
    ),
    ("GET", "/v1/steps/t1/1/samples?cursor=0&wait_ms=5", ""),
    ("POST", "/v1/steps/t1/1/ack", r#"{"cursor":0}"#),
];

/// Bytes that have a meaning in HTTP or JSON, and some that are invalid in text.
const BYTES: &[u8] = b"\r\n\0 :;,\"{}[]/%?0919-\\\x7f\xff\xc3";
/// Lines that are inserted after the request line.
const LINES: [&str; 8] = [
    "Transfer-Encoding: chunked\r\n",
    "Content-Length: 3\r\n",
    "Content-Length: 99999999999999999999\r\n",
    "Expect: 100-continue\r\n",
    "Connection: close\r\n",
    "Authorization: Bearer shop\r\n",
    "X-Request-Id: 1\r\n",
    " folded\r\n",
];

/// The bytes that are sent on one connection.
pub(crate) struct Input {
    pub(crate) bytes: Vec<u8>,
    /// Whether the framing of the request is intact, so that the node must answer.
    pub(crate) is_complete: bool,
}

impl fmt::Debug for Input {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "complete {} \"{}\"", self.is_complete, self.bytes.escape_ascii())
    }
}

/// An endless series of inputs, which depends on the seed only.
pub(crate) struct Inputs {
    random: ChaCha8Rng,
}

impl Inputs {
    pub(crate) fn new(seed: u64) -> Self {
        Self { random: ChaCha8Rng::seed_from_u64(seed) }
    }

    fn request(&mut self, mutate_body: bool) -> Vec<u8> {
        let (method, path, body) = REQUESTS[self.random.random_range(0..REQUESTS.len())];
        let mut body = body.as_bytes().to_vec();
        if mutate_body {
            self.mutate(&mut body);
        }
        let key = if path.starts_with("/v1/steps") { "t1-key" } else { "courier-key" };
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer {key}\r\n\
             Content-Length: {}\r\n\r\n",
            body.len(),
        );
        [head.into_bytes(), body].concat()
    }

    fn random_bytes(&mut self) -> Vec<u8> {
        let length = self.random.random_range(1..400);
        let mut bytes: Vec<u8> = (0..length).map(|_| self.random.random()).collect();
        if self.random.random() {
            bytes.extend(b"\r\n\r\n");
        }
        bytes
    }

    fn mutate(&mut self, bytes: &mut Vec<u8>) {
        for _ in 0..self.random.random_range(1..5) {
            let at = self.random.random_range(0..=bytes.len());
            let end = (at + self.random.random_range(1..20)).min(bytes.len());
            let byte = BYTES[self.random.random_range(0..BYTES.len())];
            match self.random.random_range(0..6) {
                0 if at < bytes.len() => bytes[at] = byte,
                1 => bytes.insert(at, byte),
                2 => drop(bytes.drain(at..end)),
                3 => {
                    let copy = bytes[at..end].to_vec();
                    bytes.splice(at..at, copy);
                }
                4 => {
                    let line = LINES[self.random.random_range(0..LINES.len())];
                    let end_of_line = bytes.iter().position(|byte| *byte == b'\n');
                    let at = end_of_line.map_or(0, |at| at + 1);
                    bytes.splice(at..at, line.bytes());
                }
                _ => bytes.extend(b"\r\n\r\n"),
            }
        }
    }
}

impl Iterator for Inputs {
    type Item = Input;

    fn next(&mut self) -> Option<Input> {
        let kind = self.random.random_range(0..10);
        let mut bytes = match kind {
            0..2 => self.random_bytes(),
            2..5 => self.request(true),
            _ => self.request(false),
        };
        if kind >= 6 {
            self.mutate(&mut bytes);
        }
        Some(Input { bytes, is_complete: (2..6).contains(&kind) })
    }
}
