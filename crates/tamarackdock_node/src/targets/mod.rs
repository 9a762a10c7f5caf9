//! The state of the targets as far as this node knows it.

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
