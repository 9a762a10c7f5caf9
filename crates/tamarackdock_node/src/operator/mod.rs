//! Handles the requests of operators on the operator port, see `docs/api.md`.

mod change;
mod handler;
mod parameters;
mod problems;

pub(crate) use handler::Handler;
