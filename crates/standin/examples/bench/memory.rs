use std::{
    io::{self, Write as _},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use standin::resource::resident_bytes;

use crate::setup::{KEY, Setup};

const CONNECTIONS: u32 = 1000;
const STREAMS: u32 = 256;
const STREAM_TOKENS: u64 = 10_000;
const TOKEN_INTERVAL: Duration = Duration::from_secs(1);
const POLL: Duration = Duration::from_millis(20);
const STREAM_START_TIMEOUT: Duration = Duration::from_secs(20);

/// Measures resident memory with idle connections and with open streams.
pub(crate) fn measure(seed: u64) -> io::Result<Value> {
    let setup = Setup::spawn(seed, STREAM_TOKENS, TOKEN_INTERVAL)?;
    let address = setup.node.addresses().callers;
    let resident = || resident_bytes(setup.node.id()).unwrap_or_default();
    let empty = resident();
    let idle =
        open_connections(address, CONNECTIONS, b"GET /healthz HTTP/1.1\r\nhost: node\r\n\r\n")?;
    wait_for_steady_memory();
    let with_idle = resident();
    let streams = open_connections(address, STREAMS, &stream_request())?;
    let started = || setup.world.calls_started_in("d1");
    let begin = Instant::now();
    while started() < u64::from(STREAMS) && begin.elapsed() < STREAM_START_TIMEOUT {
        thread::sleep(POLL);
    }
    wait_for_steady_memory();
    let with_streams = resident();
    drop((idle, streams));
    Ok(json!({
        "measure": "memory",
        "node_bytes": empty,
        "idle_connections": CONNECTIONS,
        "node_bytes_with_idle_connections": with_idle,
        "bytes_per_idle_connection": with_idle.saturating_sub(empty) / u64::from(CONNECTIONS),
        "streams": started(),
        "node_bytes_with_streams": with_streams,
        "bytes_per_stream": with_streams.saturating_sub(with_idle) / u64::from(STREAMS),
    }))
}

/// Opens connections and sends one request on each. Answers are not read.
fn open_connections(address: SocketAddr, count: u32, request: &[u8]) -> io::Result<Vec<TcpStream>> {
    let connect = |_| {
        let mut stream = TcpStream::connect(address)?;
        stream.write_all(request)?;
        Ok(stream)
    };
    (0..count).map(connect).collect()
}

fn stream_request() -> Vec<u8> {
    let body = json!({"model": "m", "prompt": "a", "max_tokens": STREAM_TOKENS, "stream": true});
    let body = body.to_string();
    let length = body.len();
    let head = "POST /v1/completions HTTP/1.1\r\nhost: node\r\ncontent-type: application/json";
    format!("{head}\r\nauthorization: Bearer {KEY}\r\ncontent-length: {length}\r\n\r\n{body}")
        .into()
}

/// Waits until the node has handled what was sent. A sleep is used, since no event
/// shows that its memory is steady.
fn wait_for_steady_memory() {
    thread::sleep(Duration::from_secs(1));
}
