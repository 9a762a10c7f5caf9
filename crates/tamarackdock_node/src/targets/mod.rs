//! The state of the targets as far as this node knows it.

mod in_flight;
mod list;
mod report;
mod states;
mod task;
mod update;

pub(crate) use report::Report;
pub(crate) use states::TargetStates;
pub(crate) use task::run;
pub(crate) use update::Update;
