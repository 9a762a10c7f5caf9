//! Single completion calls that a scenario makes.

use std::{
    io::{self, Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use serde_json::{Value, json};

/// Longest wait for each read of an answer.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Sends a completion call and returns the connection on which the answer comes.
pub(crate) fn send(
    address: SocketAddr,
    account: &str,
    prompt: &str,
    max_tokens: u64,
    stream: bool,
) -> io::Result<TcpStream> {
    let body = json!({"model": "m", "prompt": prompt, "max_tokens": max_tokens, "stream": stream});
    let body = body.to_string();
    let mut connection = TcpStream::connect(address)?;
    connection.set_read_timeout(Some(READ_TIMEOUT))?;
    let length = body.len();
    write!(
        connection,
        "POST /v1/completions HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\
         authorization: Bearer {account}-key\r\ncontent-length: {length}\r\n\r\n{body}"
    )?;
    Ok(connection)
}

/// Makes a call and returns `ok` for status 200, else the error code, or `broken` if
/// the connection failed or the body has no error code.
pub(crate) fn outcome(address: SocketAddr, account: &str, prompt: &str) -> String {
    let mut answer = String::new();
    let read = send(address, account, prompt, 8, false)
        .and_then(|mut connection| connection.read_to_string(&mut answer));
    match read {
        Ok(_) if answer.starts_with("HTTP/1.1 200") => "ok".into(),
        Ok(_) => error_code(&answer).unwrap_or_else(|| "broken".into()),
        Err(_) => "broken".into(),
    }
}

fn error_code(answer: &str) -> Option<String> {
    let (_, body) = answer.split_once("\r\n\r\n")?;
    let value: Value = serde_json::from_str(body).ok()?;
    Some(value["error"]["code"].as_str()?.into())
}
