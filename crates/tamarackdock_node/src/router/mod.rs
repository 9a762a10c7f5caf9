//! The task that admits calls and chooses targets, and owns the counts for
//! both. See `docs/design.md`, section 5.

mod admission;
mod admitted;
mod crash;
mod credits;
mod dump;
mod handle;
mod message;
mod parked;
mod permit;
mod placement;
mod poll;
mod pool;
mod state;
mod subset;
mod targets;
mod warmth;

pub(crate) use admitted::Admitted;
pub(crate) use handle::Handle;
pub(crate) use message::{Admit, Capacity, Message, Query};
pub(crate) use permit::{Outcome, Permit};
pub(crate) use state::{Parts, spawn};
