//! Messages between nodes over the peer port.

mod call_error;
mod client;
mod handler;
mod message;
mod reply;

pub(crate) use call_error::CallError;
pub(crate) use client::Client;
pub(crate) use handler::{Dispatch, Handler};
pub(crate) use message::{CrashedRequest, Message, StepCall};
pub(crate) use reply::{Reply, StepAnswer};
