//! Unit tests of HTTP parsing on raw bytes from clients and targets.

mod bodies;
mod endless;
mod heads;
