//! Runs the steps of trainers. Calls go to the holder of the trainer's lease,
//! which runs the state machine of each step. See `docs/design.md`, section 6.

mod answer;
mod attempt;
mod call;
mod holder;
mod open;
mod runner;
mod service;

pub(crate) use service::Service;
