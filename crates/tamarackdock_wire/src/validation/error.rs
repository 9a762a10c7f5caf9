use derive_more::{Display, Error as StdError};
use tamarackdock_types::refusal::Code;

/// The rule of HTTP/1.1, or the limit, that received bytes violate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, StdError)]
pub enum Error {
    /// The head is larger than allowed.
    #[display("the head is larger than {limit} bytes")]
    HeadTooLarge {
        /// Limit in bytes.
        limit: usize,
    },
    /// The body is larger than allowed.
    #[display("the body is larger than {limit} bytes")]
    BodyTooLarge {
        /// Limit in bytes.
        limit: u64,
    },
    /// One chunk is larger than allowed.
    #[display("a chunk is larger than {limit} bytes")]
    ChunkTooLarge {
        /// Limit in bytes.
        limit: u64,
    },
    /// The body has so many small chunks that decoding them costs far more memory than their bytes.
    #[display("the body has more than {limit} chunks; send larger ones")]
    TooManyChunks {
        /// Limit in chunks.
        limit: u64,
    },
    /// The head is not valid HTTP/1.1.
    #[display("the head is not valid HTTP/1.1")]
    InvalidHead,
    /// A line of the head ends without a carriage return.
    #[display("a line of the head ends without a carriage return")]
    BareLineFeed,
    /// `Transfer-Encoding` and `Content-Length` occur together, which two
    /// parties may interpret differently (request smuggling).
    #[display("`Transfer-Encoding` and `Content-Length` must not occur together")]
    AmbiguousLength,
    /// `Content-Length` is not a decimal number, or occurs with different values.
    #[display("`Content-Length` is not one decimal number")]
    InvalidLength,
    /// The transfer coding is not `chunked`.
    #[display("the only supported `Transfer-Encoding` is `chunked`")]
    TransferEncoding,
    /// A chunk size is not a hexadecimal number, or has an extension.
    #[display("a chunk size is not a plain hexadecimal number")]
    ChunkSize,
    /// A chunk does not end where its size says.
    #[display("a chunk does not end where its size says")]
    ChunkEnd,
    /// The chunked body has trailers.
    #[display("trailers are not supported")]
    Trailer,
    /// The response has neither a length nor chunks, so a truncated body would
    /// look like a complete one.
    #[display("the response has neither `Content-Length` nor chunks")]
    MissingLength,
    /// More interim (1xx) responses than allowed came before the final one.
    #[display("more than {limit} interim responses came before the final one")]
    TooManyInterim {
        /// Limit in responses.
        limit: u32,
    },
    /// The response switches to another protocol, which no request asks for.
    #[display("the response switches the protocol without being asked")]
    Upgrade,
    /// The response has a body where its status allows none.
    #[display("the response has a body although its status excludes one")]
    UnexpectedBody,
}

impl Error {
    /// Returns the error code that the caller gets.
    #[must_use]
    pub fn code(self) -> Code {
        match self {
            Self::HeadTooLarge { .. } => Code::HeadTooLarge,
            Self::BodyTooLarge { .. } | Self::ChunkTooLarge { .. } | Self::TooManyChunks { .. } => {
                Code::BodyTooLarge
            }
            _ => Code::BadRequest,
        }
    }
}
