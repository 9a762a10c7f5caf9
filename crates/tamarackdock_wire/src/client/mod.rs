//! The client side of HTTP/1.1.

mod answer;
mod connection;
mod deadlines;
mod error;
mod pool;

pub use answer::Answer;
pub use connection::Connection;
pub use deadlines::Deadlines;
pub use error::Error;
pub use pool::{Lease, Pool, Whole};
