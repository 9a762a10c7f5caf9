//! HTTP/1.1 between callers, nodes, targets and the platform, over
//! `monoio-http`. See `docs/design.md`, section 5.

pub mod client;
pub mod flag;
pub mod frame;
pub mod server;
pub mod stream;
pub mod validation;

pub use frame::Frame;
