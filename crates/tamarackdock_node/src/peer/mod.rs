//! Messages between nodes over the peer port.

mod client;
mod failure;
mod handler;
mod message;
mod reply;

pub(crate) use client::Client;
pub(crate) use failure::Failure;
pub(crate) use handler::{Dispatch, Handler};
pub(crate) use message::{Crashed, Message, StepCall};
pub(crate) use reply::{Reply, StepAnswer};
