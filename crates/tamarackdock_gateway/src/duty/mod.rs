//! Duties that one node performs for the whole deployment: orders to load weights,
//! usage reports, orders of targets, and removal of old batch jobs and other rows. A
//! lease in the store decides which node holds them.

pub(crate) mod clear;
pub(crate) mod forget;
pub(crate) mod lease;
pub(crate) mod plan;
pub(crate) mod scale;
pub(crate) mod usage;
pub(crate) mod weight_loads;

#[cfg(test)]
mod tests;
