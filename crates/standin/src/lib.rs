//! Stand-ins for the outside systems, for the demo, tests and measurements.
//! Each runs on a thread and a runtime of its own and counts what it sees
//! independently of the nodes.

pub mod app;
pub mod bench;
mod caller;
pub mod engine;
pub mod node;
pub mod plain;
pub mod platform;
pub mod process;
pub mod proxy;
mod reply;
pub mod resource;
pub mod thread;
pub mod trainer;
pub mod world;
