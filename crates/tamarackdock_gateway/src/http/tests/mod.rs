//! Unit tests of HTTP parsing on raw bytes from clients and targets.

mod bodies;
mod early_ends;
mod endless;
mod heads;
