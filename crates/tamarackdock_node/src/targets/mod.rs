//! What is known of the targets' state.

mod report;
mod watch;

pub(crate) use report::Report;
pub(crate) use watch::Watch;
