//! What is known of the targets' state.

mod in_flight;
mod list;
mod report;
mod task;
mod update;
mod watch;

pub(crate) use report::Report;
pub(crate) use task::run;
pub(crate) use update::Update;
pub(crate) use watch::Watch;
