//! The task that keeps the configuration up to date.

mod task;

pub(crate) use task::run;
