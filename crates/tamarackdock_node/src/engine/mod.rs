//! Calls to model engines, see `docs/platform.md`.

mod attempt;
mod control;
mod event;
mod generation;
mod sse;
#[cfg(test)]
mod tests;

pub(crate) use attempt::Attempt;
use attempt::Failure;
pub(crate) use control::{
    LoadOutcome, LoadReport, WeightLoadOrder, fetch_load_report, order_weight_load,
};
pub(crate) use event::Event;
pub(crate) use generation::{Generation, Sink, account_or_open};
