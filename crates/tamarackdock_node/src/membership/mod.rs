//! Runs the membership state machine over the peer port. See
//! `docs/design.md`, section 4, "Membership".

mod dump;
mod peers;
mod service;
mod task;

pub(crate) use peers::Peers;
pub(crate) use service::Service;
pub(crate) use task::run;
