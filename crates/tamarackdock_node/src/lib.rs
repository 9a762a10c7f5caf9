//! The node: tasks that own the sockets and the state, and that run the state
//! machines of the other crates. See `docs/design.md`, sections 3 and 5.

pub mod active;
mod caller;
mod config;
mod context;
mod data_centre;
mod dispatch;
mod engine;
mod error;
mod lease;
mod membership;
mod node;
mod operator;
mod peer;
mod platform;
mod reachability;
mod router;
mod running;
pub mod runtime;
mod step;
mod targets;
mod telemetry;
mod usage;
mod weights;

pub use error::Error;
pub use node::Node;
pub use running::{Addresses, Running};
pub use telemetry::log;
