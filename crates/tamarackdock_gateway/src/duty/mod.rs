//! What one node does for all: loads of weights, usage reports, orders of
//! targets, and clearing of old batch jobs. A lease in the store decides which.

pub(crate) mod clear;
pub(crate) mod holder;
pub(crate) mod loads;
pub(crate) mod plan;
pub(crate) mod scale;
pub(crate) mod usage;

#[cfg(test)]
mod tests;
