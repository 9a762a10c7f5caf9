//! HTTP/1.1 between callers, nodes, targets and the platform, over
//! `monoio-http`. See `docs/design.md`, section 5.

pub mod client;
pub mod flag;
pub mod frame;
pub mod guard;
pub mod server;
pub mod stream;

pub use frame::Frame;
