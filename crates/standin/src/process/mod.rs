//! Nodes that run as processes of their own, for tests that send signals.

mod cluster;
mod node;

pub use cluster::Cluster;
pub use node::Node;
