//! The operators' port.

mod handler;

pub(crate) use handler::Handler;
