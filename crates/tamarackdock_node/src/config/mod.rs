//! Runs the state machines of acceptance and propagation of the configuration. See
//! `docs/design.md`, section 4, "Configuration".

mod actions;
mod coverage;
mod edit;
mod reads;
mod refusal;
mod service;
mod submission;
mod task;

pub(crate) use service::Service;
pub(crate) use task::run;
