//! Runs lease state machines against the platform's table.

mod handle;
mod task;

pub(crate) use handle::{Event, Handle};
