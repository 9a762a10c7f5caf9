use serde::Deserialize;
use tamarackdock_types::{call::Ran, refusal::Code};

/// The first answer on a connection that is not informational (1xx).
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    /// Whether the whole body was received.
    pub(crate) is_complete: bool,
    body: Vec<u8>,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorFields,
}

#[derive(Deserialize)]
struct ErrorFields {
    code: Code,
    message: String,
    #[serde(rename = "ran")]
    _ran: Ran,
}

impl Answer {
    /// Checks that the answer is a success, or an error of the documented form whose code
    /// belongs to its status.
    pub(crate) fn check(&self) -> Result<(), String> {
        if (200..300).contains(&self.status) {
            return Ok(());
        }
        let body = serde_json::from_slice::<ErrorBody>(&self.body);
        let ErrorBody { error } = body.map_err(|error| format!("no typed error: {error}"))?;
        if error.code.status() == self.status && !error.message.is_empty() {
            Ok(())
        } else {
            Err("the status or the message doesn't fit the code".into())
        }
    }
}

/// Parses what a node sent. Returns `None` until the head of an answer that is not
/// informational is complete.
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
            let (body, is_complete) = body(&head, bytes);
            return Some(Answer { status, is_complete, body });
        }
    }
}

/// Returns the body as far as it was received, and whether it is complete.
fn body(head: &httparse::Response<'_, '_>, bytes: &[u8]) -> (Vec<u8>, bool) {
    let header = |name: &str| {
        let found = head.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(found.value).ok()
    };
    if header("transfer-encoding") == Some("chunked") {
        return decode_chunks(bytes);
    }
    let length = header("content-length").expect("a framed answer").parse().unwrap();
    (bytes[..bytes.len().min(length)].to_vec(), bytes.len() >= length)
}

fn decode_chunks(mut bytes: &[u8]) -> (Vec<u8>, bool) {
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
