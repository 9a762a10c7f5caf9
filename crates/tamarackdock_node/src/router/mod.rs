//! The task that chooses targets and owns their load counts.

mod handle;
mod message;
mod permit;
mod task;

pub(crate) use handle::Handle;
pub(crate) use message::{Capacity, Message, Query};
pub(crate) use permit::{Outcome, Permit};
pub(crate) use task::spawn;
