//! Stand-ins for the outside systems, for the demo, tests and measurements.
//! Each runs on its own thread and runtime, and counts what it receives
//! independently of the nodes.

pub mod app;
mod client;
pub mod engine;
pub mod node;
pub mod plain;
pub mod platform;
pub mod process;
pub mod proxy;
pub mod resource;
mod response;
pub mod stand_ins;
pub mod thread;
pub mod trainer;
pub mod world;
