pub mod log;
mod metrics;

pub(crate) use metrics::Metrics;
