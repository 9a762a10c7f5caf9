use std::{
    io::{self, Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use serde_json::Value;

/// Longer than the longest time that a node holds an operator's request.
const READ_TIMEOUT: Duration = Duration::from_secs(40);

/// Response of a node's operators' port.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Body, parsed as JSON.
    pub body: Value,
}

/// Sends a request on a new connection and reads the complete response.
pub(super) fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {address}\r\ncontent-length: {length}\r\n\
         connection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body.as_bytes())?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    parse(&text).ok_or_else(|| io::ErrorKind::InvalidData.into())
}

fn parse(text: &str) -> Option<Answer> {
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(Answer { status, body: serde_json::from_str(body).ok()? })
}
