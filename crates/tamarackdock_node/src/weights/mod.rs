//! The newest weight versions, as the weight store names them.

mod task;
mod watch;

pub(crate) use task::run;
pub(crate) use watch::Watch;
