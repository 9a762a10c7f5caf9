//! Tasks that run the lease state machine against the table service.

mod handle;
mod task;

pub(crate) use handle::{Event, Handle};
