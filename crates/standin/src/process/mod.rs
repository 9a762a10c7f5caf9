//! Nodes as processes of their own, for tests with signals.

mod cluster;
mod node;

pub use cluster::Cluster;
pub use node::Node;
