//! The operators' port.

mod change;
mod handler;
mod parameters;
mod problems;

pub(crate) use handler::Handler;
