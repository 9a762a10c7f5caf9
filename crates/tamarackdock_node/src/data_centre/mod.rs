//! The work of the holder of the lease `orders/{data centre}`: it loads weights
//! on the data centre's engines and orders its targets. See `docs/design.md`,
//! sections 4, 6 and 7.

mod candidacy;
mod demand;
mod engines;
mod handle;
mod load_order;
mod message;
mod metrics;
mod polls;
mod report_publisher;
mod run;
mod target_orders;
mod task;
mod weight_loads;

pub(crate) use handle::Handle;
pub(crate) use run::run;
