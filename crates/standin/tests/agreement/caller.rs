use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use serde_json::json;

use crate::support::{TIMEOUT, wait_until};

/// Error code and `ran` of a refused call, or `None` if the call succeeded.
pub(crate) type Refusal = Option<(String, String)>;

/// Sends a request to the caller port of a node and reads the whole response.
fn send(address: SocketAddr, path: &str, key: Option<&str>, body: &str) -> Refusal {
    let mut stream = open(address, path, key, body);
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    let (head, body) = text.split_once("\r\n\r\n").unwrap();
    if head.starts_with("HTTP/1.1 200") {
        return None;
    }
    let error = serde_json::from_str::<serde_json::Value>(body).unwrap()["error"].clone();
    Some((error["code"].as_str()?.into(), error["ran"].as_str()?.into()))
}

/// Sends a request on a new connection and returns it.
fn open(address: SocketAddr, path: &str, key: Option<&str>, body: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let key = key.map(|key| format!("authorization: Bearer {key}\r\n")).unwrap_or_default();
    let length = body.len();
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: node\r\ncontent-length: {length}\r\n{key}\
         connection: close\r\n\r\n{body}"
    );
    stream.write_all(head.as_bytes()).unwrap();
    stream
}

/// Makes a completion call for one token.
pub(crate) fn complete(address: SocketAddr, key: &str) -> Refusal {
    let body = json!({"model": "m", "prompt": "p", "max_tokens": 1}).to_string();
    send(address, "/v1/completions", Some(key), &body)
}

/// Calls the plain service `parcels`.
pub(crate) fn call_plain_service(address: SocketAddr, key: Option<&str>) -> Refusal {
    send(address, "/v1/services/parcels/p", key, "{}")
}

/// Requests a step as trainer `t1`.
pub(crate) fn open_step(address: SocketAddr, key: &str) -> Refusal {
    let body = json!({
        "trainer": "t1", "step": 1, "prompts": ["p"], "group_size": 1, "max_tokens": 1,
        "staleness_bound": 1,
    });
    send(address, "/v1/steps", Some(key), &body.to_string())
}

/// A streamed completion that a thread reads until it ends.
pub(crate) struct OpenStream(JoinHandle<Instant>);

impl OpenStream {
    /// Opens the stream and waits for its first bytes.
    pub(crate) fn open(address: SocketAddr, key: &str) -> Self {
        let body = json!({"model": "m", "prompt": "p", "max_tokens": 1_000_000, "stream": true});
        let mut stream = open(address, "/v1/completions", Some(key), &body.to_string());
        let mut buffer = [0; 4096];
        let first = stream.read(&mut buffer).unwrap();
        assert!(buffer[..first].starts_with(b"HTTP/1.1 200"));
        Self(thread::spawn(move || {
            let mut last = Instant::now();
            while let Ok(1..) = stream.read(&mut buffer) {
                last = Instant::now();
            }
            last
        }))
    }

    pub(crate) fn is_open(&self) -> bool {
        !self.0.is_finished()
    }

    /// Waits for the end of the stream and returns how long after `begin` its last byte
    /// arrived.
    pub(crate) fn received_for(self, begin: Instant) -> Duration {
        wait_until("the stream ends", || self.0.is_finished());
        self.0.join().unwrap().saturating_duration_since(begin)
    }
}
