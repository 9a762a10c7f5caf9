//! Nodes that run as separate processes, for tests that send signals.

mod cluster;
mod node;

pub use cluster::Cluster;
pub use node::Node;
