//! CPU time and memory of processes and threads, and nodes that run as processes of their
//! own, which are measured.

mod cpu;
mod memory;
mod node;

pub use cpu::{Threads, cpu_time};
pub use memory::resident_bytes;
pub use node::Node;
