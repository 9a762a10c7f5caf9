//! The client side of HTTP/1.1.

mod connection;
mod error;
mod pool;
mod streamed_response;
mod timeouts;

pub use connection::Connection;
pub use error::Error;
pub use pool::{BufferedResponse, Pool, PooledConnection};
pub use streamed_response::StreamedResponse;
pub use timeouts::Timeouts;
