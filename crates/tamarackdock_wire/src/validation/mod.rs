//! Checks on HTTP/1.1 bytes before the decoder of `monoio-http` sees them.
//!
//! The decoder buffers heads, bodies and chunks without bound, and accepts
//! ambiguous framing. See `docs/design.md`, section 5.

mod error;
mod framing;
mod limits;
mod reader;
mod scanner;

#[cfg(test)]
mod differential_tests;
#[cfg(test)]
mod tests;

pub use error::Error;
pub use limits::Limits;
pub use reader::CheckedReader;
pub(crate) use reader::SharedError;
pub use scanner::{Direction, Scanner};
