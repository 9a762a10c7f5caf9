//! Unit tests of decisions of the holder of the duties, without a network.

mod plan;
mod scale;
mod usage;
