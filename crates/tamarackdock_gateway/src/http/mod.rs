//! HTTP/1.1 with exact framing on both sides. `docs/decisions/0006-http-framing.md`
//! gives the reasons for parsing heads with `httparse` and framing bodies here.

mod body;
mod budget;
mod connection;
mod exchange;
mod head;

pub use body::{Body, Framing, FramingError};
pub(crate) use body::{LAST_CHUNK, chunk};
pub use budget::{Budget, Reservation};
pub use connection::Connection;
pub(crate) use connection::{Reader, Writer};
pub(crate) use exchange::send_message_within;
pub use exchange::{Exchange, ExchangeError, Response, send_message};
use head::HeadEnd;
pub(crate) use head::response as response_head;
pub use head::{HeadError, Headers, RequestHead, ResponseHead};

#[cfg(test)]
mod tests;
