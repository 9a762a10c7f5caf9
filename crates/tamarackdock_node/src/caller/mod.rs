//! Handles the requests of apps and trainers on the caller port, see `docs/api.md`.

mod access;
mod cancellation;
mod completion;
mod handler;
mod plain;
mod request_id;
mod step;

pub(crate) use handler::Handler;
pub(crate) use request_id::RequestIds;
