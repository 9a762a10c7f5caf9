//! What processes and threads use, and a node as a process of its own.

mod cpu;
mod memory;
mod node;

pub use cpu::{Threads, cpu_time};
pub use memory::resident_bytes;
pub use node::Node;
