//! Counts what targets delivered to each client account, and reports it. See
//! `docs/design.md`, section 7.

mod elect;
mod finish;
mod handle;
mod message;
mod meter;
mod metrics;
mod perform;
mod schedule;
mod task;

pub(crate) use finish::finish;
pub(crate) use handle::{Handle, channel};
pub(crate) use meter::Meter;
pub(crate) use task::spawn;
