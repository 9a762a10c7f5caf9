//! Raw bytes from clients and targets.

mod bodies;
mod heads;
