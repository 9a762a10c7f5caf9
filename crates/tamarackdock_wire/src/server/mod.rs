//! The server side of HTTP/1.1.

mod connection;
mod handler;
mod listen;
mod options;
mod request;
mod response;
mod writer;

pub use handler::Handler;
pub use listen::{Listener, listen};
pub use options::Options;
pub use request::Request;
pub use response::{Body, Response};
