use httparse::{EMPTY_HEADER, Header};

use super::{Direction, Error, Limits};

const MAX_HEADERS: usize = 64;
const STATUS_NO_CONTENT: u16 = 204;
const STATUS_NOT_MODIFIED: u16 = 304;

/// How the end of a body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Framing {
    Length(u64),
    Chunked,
}

impl Framing {
    /// Derives the framing from a complete head.
    pub(super) fn of(head: &[u8], direction: Direction, limits: Limits) -> Result<Self, Error> {
        let mut headers = [EMPTY_HEADER; MAX_HEADERS];
        match direction {
            Direction::Request => {
                let mut request = httparse::Request::new(&mut headers);
                complete(request.parse(head))?;
                let framing = Self::declared(request.headers, limits)?;
                Ok(framing.unwrap_or(Self::Length(0)))
            }
            Direction::Response => {
                let mut response = httparse::Response::new(&mut headers);
                complete(response.parse(head))?;
                let framing = Self::declared(response.headers, limits)?;
                match (response.code, framing) {
                    (
                        Some(STATUS_NO_CONTENT | STATUS_NOT_MODIFIED),
                        None | Some(Self::Length(0)),
                    ) => Ok(Self::Length(0)),
                    (Some(STATUS_NO_CONTENT | STATUS_NOT_MODIFIED), Some(_)) => {
                        Err(Error::UnexpectedBody)
                    }
                    (_, Some(framing)) => Ok(framing),
                    (_, None) => Err(Error::Unframed),
                }
            }
        }
    }

    fn declared(headers: &[Header<'_>], limits: Limits) -> Result<Option<Self>, Error> {
        let mut chunked = false;
        let mut length = None;
        for header in headers {
            match header.name {
                name if name.eq_ignore_ascii_case("transfer-encoding") => {
                    if chunked || !header.value.eq_ignore_ascii_case(b"chunked") {
                        return Err(Error::TransferEncoding);
                    }
                    chunked = true;
                }
                name if name.eq_ignore_ascii_case("content-length") => {
                    let value = decimal(header.value)?;
                    if length.is_some_and(|earlier| earlier != value) {
                        return Err(Error::Length);
                    }
                    length = Some(value);
                }
                _ => {}
            }
        }
        match (chunked, length) {
            (true, Some(_)) => Err(Error::AmbiguousLength),
            (true, None) => Ok(Some(Self::Chunked)),
            (false, Some(length)) if length > limits.body => {
                Err(Error::BodyTooLarge { limit: limits.body })
            }
            (false, length) => Ok(length.map(Self::Length)),
        }
    }
}

fn complete(status: httparse::Result<usize>) -> Result<(), Error> {
    match status {
        Ok(httparse::Status::Complete(_)) => Ok(()),
        Ok(httparse::Status::Partial) | Err(_) => Err(Error::Head),
    }
}

fn decimal(value: &[u8]) -> Result<u64, Error> {
    let text = std::str::from_utf8(value).map_err(|_| Error::Length)?;
    if text.bytes().all(|b| b.is_ascii_digit()) {
        text.parse().map_err(|_| Error::Length)
    } else {
        Err(Error::Length)
    }
}
