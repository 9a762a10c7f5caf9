//! The task that admits calls and chooses their targets. It owns all counts that
//! both decisions depend on. See `docs/design.md`, section 5.

mod admission;
mod admitted;
mod crash;
mod credits;
mod dump;
mod handle;
mod message;
mod pending;
mod permit;
mod placement;
mod poll;
mod queues;
mod reported_state;
mod state;
mod subset;
mod targets;

pub(crate) use admitted::Admitted;
pub(crate) use handle::Handle;
pub(crate) use message::{AdmissionRequest, Capacity, Message, Query};
pub(crate) use permit::{Outcome, Permit};
pub(crate) use state::{Dependencies, spawn};
