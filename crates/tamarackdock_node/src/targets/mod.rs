//! What is known of the targets' state.

mod in_flight;
mod list;
mod report;
mod task;
mod watch;

pub(crate) use report::Report;
pub(crate) use task::run;
pub(crate) use watch::Watch;
