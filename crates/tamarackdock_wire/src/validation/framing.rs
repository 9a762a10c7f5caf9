use http::{Method, Uri};
use httparse::{EMPTY_HEADER, Header};

use super::{Direction, Error, Limits};

const MAX_HEADERS: usize = 64;
const MIN_STATUS: u16 = 100;
const STATUS_SWITCHING_PROTOCOLS: u16 = 101;
const MIN_FINAL_STATUS: u16 = 200;
const STATUS_NO_CONTENT: u16 = 204;
const STATUS_NOT_MODIFIED: u16 = 304;
const HTTP_1_1: Option<u8> = Some(1);

/// How the end of a message is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Framing {
    /// The body has this many bytes.
    Length(u64),
    /// The body consists of chunks.
    Chunked,
    /// The head is an interim response; the final response follows.
    Interim,
}

impl Framing {
    /// Derives the framing from a complete head. `bodiless` means that the
    /// response answers a HEAD request.
    pub(super) fn from_head(
        head: &[u8],
        direction: Direction,
        bodiless: bool,
        limits: Limits,
    ) -> Result<Self, Error> {
        let mut headers = [EMPTY_HEADER; MAX_HEADERS];
        let framing = match direction {
            Direction::Request => Self::from_request(head, &mut headers),
            Direction::Response => Self::from_response(head, &mut headers, bodiless),
        }?;
        match framing {
            Self::Length(length) if length > limits.body => {
                Err(Error::BodyTooLarge { limit: limits.body })
            }
            framing => Ok(framing),
        }
    }

    fn from_request<'a>(head: &'a [u8], headers: &mut [Header<'a>]) -> Result<Self, Error> {
        let mut request = httparse::Request::new(headers);
        check_complete(request.parse(head), head)?;
        // The decoder parses both again and must accept exactly the same values.
        Method::from_bytes(request.method.unwrap_or_default().as_bytes())
            .map_err(|_| Error::InvalidHead)?;
        Uri::try_from(request.path.unwrap_or_default()).map_err(|_| Error::InvalidHead)?;
        let declared = Self::declared(request.headers, request.version)?;
        Ok(declared.unwrap_or(Self::Length(0)))
    }

    fn from_response<'a>(
        head: &'a [u8],
        headers: &mut [Header<'a>],
        bodiless: bool,
    ) -> Result<Self, Error> {
        let mut response = httparse::Response::new(headers);
        check_complete(response.parse(head), head)?;
        let declared = Self::declared(response.headers, response.version)?;
        match (response.code.unwrap_or_default(), declared) {
            (..MIN_STATUS, _) => Err(Error::InvalidHead),
            (STATUS_SWITCHING_PROTOCOLS, _) => Err(Error::Upgrade),
            (MIN_STATUS..MIN_FINAL_STATUS, None | Some(Self::Length(0))) => Ok(Self::Interim),
            (MIN_STATUS..MIN_FINAL_STATUS, Some(_)) | (STATUS_NO_CONTENT, Some(Self::Chunked)) => {
                Err(Error::UnexpectedBody)
            }
            (STATUS_NO_CONTENT | STATUS_NOT_MODIFIED, _) => Ok(Self::Length(0)),
            _ if bodiless => Ok(Self::Length(0)),
            (_, Some(framing)) => Ok(framing),
            (_, None) => Err(Error::MissingLength),
        }
    }

    /// Returns the framing that the header fields declare, if any.
    fn declared(headers: &[Header<'_>], version: Option<u8>) -> Result<Option<Self>, Error> {
        let mut chunked = false;
        let mut length = None;
        for header in headers {
            match header.name {
                name if name.eq_ignore_ascii_case("transfer-encoding") => {
                    let supported = header.value.eq_ignore_ascii_case(b"chunked");
                    if chunked || !supported || version != HTTP_1_1 {
                        return Err(Error::TransferEncoding);
                    }
                    chunked = true;
                }
                name if name.eq_ignore_ascii_case("content-length") => {
                    let value = parse_decimal(header.value)?;
                    if length.is_some_and(|earlier| earlier != value) {
                        return Err(Error::InvalidLength);
                    }
                    length = Some(value);
                }
                _ => {}
            }
        }
        match (chunked, length) {
            (true, Some(_)) => Err(Error::AmbiguousLength),
            (true, None) => Ok(Some(Self::Chunked)),
            (false, length) => Ok(length.map(Self::Length)),
        }
    }
}

fn check_complete(status: httparse::Result<usize>, head: &[u8]) -> Result<(), Error> {
    match status {
        Ok(httparse::Status::Complete(length)) if length == head.len() => Ok(()),
        Ok(_) | Err(_) => Err(Error::InvalidHead),
    }
}

fn parse_decimal(value: &[u8]) -> Result<u64, Error> {
    let text = std::str::from_utf8(value).map_err(|_| Error::InvalidLength)?;
    if text.bytes().all(|b| b.is_ascii_digit()) {
        text.parse().map_err(|_| Error::InvalidLength)
    } else {
        Err(Error::InvalidLength)
    }
}
