//! The newest weight version of each model, as the platform's weight store reports it.

mod task;
mod watch;

pub(crate) use task::run;
pub(crate) use watch::Watch;
