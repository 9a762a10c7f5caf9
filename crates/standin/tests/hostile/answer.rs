use serde::Deserialize;
use tamarackdock_types::{call::Ran, refusal::Code};

/// The first final answer of a connection.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) is_whole: bool,
    body: Vec<u8>,
}

#[derive(Deserialize)]
struct Body {
    error: Fields,
}

#[derive(Deserialize)]
struct Fields {
    code: Code,
    message: String,
    #[serde(rename = "ran")]
    _ran: Ran,
}

impl Answer {
    /// Checks that the answer is a success or a typed error of the documented form.
    pub(crate) fn check(&self) -> Result<(), String> {
        if (200..300).contains(&self.status) {
            return Ok(());
        }
        let body = serde_json::from_slice::<Body>(&self.body);
        let Body { error } = body.map_err(|error| format!("no typed error: {error}"))?;
        if error.code.status() == self.status && !error.message.is_empty() {
            Ok(())
        } else {
            Err("the status or the message doesn't fit the code".into())
        }
    }
}

/// Parses what a node sent, or returns nothing before the head of a final answer is there.
pub(crate) fn parse(mut bytes: &[u8]) -> Option<Answer> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut head = httparse::Response::new(&mut headers);
        let httparse::Status::Complete(length) = head.parse(bytes).expect("a valid head") else {
            return None;
        };
        let status = head.code.unwrap();
        bytes = &bytes[length..];
        if status >= 200 {
            let (body, is_whole) = body(&head, bytes);
            return Some(Answer { status, is_whole, body });
        }
    }
}

fn body(head: &httparse::Response<'_, '_>, bytes: &[u8]) -> (Vec<u8>, bool) {
    let header = |name: &str| {
        let found = head.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(found.value).ok()
    };
    if header("transfer-encoding") == Some("chunked") {
        return chunks(bytes);
    }
    let length = header("content-length").expect("a framed answer").parse().unwrap();
    (bytes[..bytes.len().min(length)].to_vec(), bytes.len() >= length)
}

fn chunks(mut bytes: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    while let Ok(httparse::Status::Complete((start, size))) = httparse::parse_chunk_size(bytes) {
        let end = start + usize::try_from(size).unwrap();
        match bytes.get(start..end + 2) {
            Some(_) if size == 0 => return (body, true),
            Some(chunk) => body.extend_from_slice(&chunk[..chunk.len() - 2]),
            None => return (body, false),
        }
        bytes = &bytes[end + 2..];
    }
    (body, false)
}
