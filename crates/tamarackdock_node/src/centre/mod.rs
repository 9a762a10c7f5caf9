//! The role of the lease `orders/{data centre}`: loads of weights and orders of
//! targets. See `docs/design.md`, sections 4, 6 and 7.

mod candidacy;
mod demand;
mod engines;
mod handle;
mod loads;
mod message;
mod metrics;
mod order;
mod polls;
mod run;
mod share;
mod spend;
mod task;

pub(crate) use handle::Handle;
pub(crate) use run::run;
