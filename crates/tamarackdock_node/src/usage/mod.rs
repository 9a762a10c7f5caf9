//! Counts the calls and tokens of each client account and reports them. See
//! `docs/design.md`, section 7.

mod first_window;
mod handle;
mod message;
mod meter;
mod metrics;
mod perform;
mod schedule;
mod shutdown;
mod task;

pub(crate) use handle::{Handle, channel};
pub(crate) use meter::Meter;
pub(crate) use shutdown::shut_down;
pub(crate) use task::spawn;
