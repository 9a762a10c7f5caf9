//! The caller port, see `docs/api.md`.

mod access;
mod completion;
mod ending;
mod handler;
mod plain;
mod request_id;
mod step;

pub(crate) use handler::Handler;
pub(crate) use request_id::RequestIds;
